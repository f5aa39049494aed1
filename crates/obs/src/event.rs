//! The catalogue of log events. `docs/EVENTS.md` explains each event to operators.

/// Severity of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Level {
    /// Detail for debugging.
    Debug,
    /// A guarantee or a service is impaired; an operator should act.
    Error,
    /// A normal step of operation.
    Info,
    /// An unusual condition that the daemon handles itself.
    Warn,
}

macro_rules! events {
    ($($name:ident = $code:literal, $level:ident, $text:literal;)*) => {
        /// A numbered event. Numbers are stable: a number is never reused with another meaning.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Event {
            $(#[doc = $text] $name,)*
        }

        impl Event {
            /// All events in ascending order of their numbers.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// The number of the event, logged under the key `event`.
            pub fn code(self) -> u16 {
                match self {
                    $(Event::$name => $code,)*
                }
            }

            /// The level at which the event is logged.
            pub fn level(self) -> Level {
                match self {
                    $(Event::$name => Level::$level,)*
                }
            }

            /// The message of the log line.
            pub fn text(self) -> &'static str {
                match self {
                    $(Event::$name => $text,)*
                }
            }
        }
    };
}

events! {
    DaemonStarted = 100, Info, "daemon started";
    DaemonReady = 101, Info, "daemon is ready for callers";
    DaemonStopping = 102, Info, "planned stop began";
    DaemonStopped = 103, Info, "daemon stopped";
    StopForced = 104, Warn, "planned stop ended early with work in progress";
    ServiceFailed = 105, Error, "a service could not start";
    DaemonNotReady = 106, Warn, "daemon is not ready for callers";
    SpanClosed = 110, Debug, "span closed";
    StoreUnreachable = 200, Warn, "platform store does not answer";
    StoreReachable = 201, Info, "platform store answers again";
    StoreAnswerLost = 202, Warn, "answer to a store write was lost; reading back";
    StoreBudgetSpent = 203, Warn, "store call held back by the call budget";
    WatchRestarted = 204, Info, "store watch resumed from a revision";
    WatchCompacted = 205, Warn, "store watch fell behind; reading all";
    StoreSlow = 206, Warn, "store did not take records in time";
    LinkUp = 300, Info, "link to a peer is up";
    LinkDown = 301, Warn, "link to a peer is down";
    LinkRefused = 302, Warn, "a connection on the peer port was refused";
    ViewInstalled = 310, Info, "membership view installed";
    SettingsApplied = 400, Info, "settings revision in force";
    SettingsRefused = 401, Warn, "settings change refused";
    SettingsStale = 402, Warn, "settings cannot be proved current; starts are held";
    SettingsOlder = 403, Warn, "an older settings revision was offered and ignored";
    UpstreamLeaving = 500, Info, "upstream leaves; no new work for it";
    UpstreamIsolated = 501, Warn, "upstream isolated after failures";
    UpstreamRestored = 502, Info, "upstream takes work again";
    ConnectionSilent = 503, Warn, "silent upstream connection replaced";
    AnswerForeign = 504, Error, "upstream answer did not match its request and was dropped";
    AnswerTruncated = 505, Warn, "upstream answer was not whole and was dropped";
    RequestRefused = 510, Debug, "request refused";
    RequestUnknown = 511, Warn, "request ended with its outcome unknown";
    CoordinatorElected = 600, Info, "coordinator epoch taken";
    CoordinatorLost = 601, Warn, "coordinator epoch lost";
    TakeoverDone = 602, Info, "take-over finished; workers read back";
    WorkerSilent = 604, Warn, "worker does not answer the coordinator";
    GangStarted = 610, Info, "gang runs";
    GangAborted = 611, Warn, "gang start aborted; all tasks released";
    GangEnded = 612, Info, "gang ended";
    JobRefused = 613, Info, "job refused";
    JobAccepted = 614, Info, "job accepted";
    JobMoved = 615, Info, "job moved to another failure domain";
    GuaranteeShort = 620, Error, "capacity is below a guarantee";
    GuaranteeRestored = 621, Info, "capacity covers the guarantees again";
    CapacityReclaimed = 622, Info, "borrowed capacity reclaimed for a guarantee";
    WorkerIsolated = 623, Warn, "worker isolated after task failures";
    WorkerProbed = 624, Info, "isolated worker is given a probe task";
    DomainOut = 630, Info, "failure domain taken out";
    DomainBack = 631, Info, "failure domain back";
    CallAnswered = 640, Info, "call of a caller answered";
    RunOrdered = 641, Info, "run ordered";
    JobDecided = 642, Info, "coordinator decided on a job or worker";
    StopUnanswered = 643, Warn, "worker did not answer a stop";
    CallerGone = 644, Info, "caller left before its answer";
    RelayFailed = 645, Warn, "another daemon did not answer a call that was passed on";
    PaceOrdered = 646, Info, "pace ordered";
    WaveAsked = 647, Info, "wave of upkeep asked for";
    UpkeepOrdered = 648, Info, "upkeep of a machine ordered";
    UpkeepHeld = 649, Warn, "upkeep is held up";
    SettingsReloaded = 650, Info, "settings file read again";
    InputRefused = 700, Info, "malformed input refused";
}
