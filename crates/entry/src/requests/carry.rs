//! The way of one request: claim, wait for an upstream, send, retry, answer.

use std::rc::Rc;

use base::Millis;
use base::Outcome;
use base::WorkerId;
use bytes::Bytes;
use obs::Event;
use obs::Span;
use obs::TraceParent;
use route::Input;
use route::RefusalReason;
use route::Request;
use route::SendResult;
use route::Ticket;
use tokio::sync::oneshot;
use work::ExchangeResult;
use work::UpstreamRequest;

use super::Grant;
use super::Inner;
use crate::gate::Claimed;
use crate::head::Head;
use crate::msg::Reply;
use crate::msg::Serve;

/// Time to come back after an answer whose outcome is unknown.
const RETRY_UNKNOWN: Millis = Millis(1_000);

/// Time to come back when the daemon has too many requests open.
const RETRY_FULL: Millis = Millis(250);

/// Time to come back after a refusal by the settings of an organisation.
const RETRY_ORG: Millis = Millis(2_000);

/// One request on its way.
struct Trip {
    head: Head,
    body: Bytes,
    deadline: Millis,
    trace: TraceParent,
    fence: Option<u64>,
    sends: u32,
    avoid: Vec<WorkerId>,
    /// Whether an earlier send may have run.
    doubtful: bool,
}

impl Inner {
    /// Carries a request to its final answer.
    pub(super) async fn serve(self: Rc<Inner>, msg: Serve) -> Reply {
        let now = self.clock.now();
        let span = Span::start("entry", msg.head.trace, now);
        let refusal = self.orgs.borrow().refusal(&msg.head, msg.body.len());
        let reply = if let Some(why) = refusal {
            unsent(&msg.head, &why, RETRY_ORG)
        } else if self.open.get() >= self.most {
            let why = "too many requests are open in this daemon";
            unsent(&msg.head, why, RETRY_FULL)
        } else {
            self.count_open(1);
            let reply = self.claimed(msg, now, span.context()).await;
            self.count_open(-1);
            reply
        };
        self.counters.answered(reply.outcome());
        self.note(&reply);
        span.close(&self.log, self.clock.now(), reply.outcome().name());
        reply
    }

    fn count_open(&self, change: isize) {
        let open = self.open.get().saturating_add_signed(change);
        self.open.set(open);
        self.counters.open.set(open as i64);
    }

    fn note(&self, reply: &Reply) {
        match reply {
            Reply::NotRun { why, .. } => obs::emit(&self.log, Event::RequestRefused, why),
            Reply::Ran { .. } => {}
            Reply::Unknown { why, .. } => obs::emit(&self.log, Event::RequestUnknown, why),
        }
    }

    /// Claims the request if it may run only once, and records how it ended.
    async fn claimed(&self, msg: Serve, now: Millis, trace: TraceParent) -> Reply {
        let mut trip = Trip {
            deadline: now + msg.head.left,
            head: msg.head,
            body: msg.body,
            trace,
            fence: None,
            sends: 0,
            avoid: Vec::new(),
            doubtful: false,
        };
        if trip.head.idempotent {
            return self.run(&mut trip).await;
        }
        match (self.gate.claim)(trip.head.clone()).await {
            Claimed::Answer(reply) => reply,
            Claimed::Send { fence, token } => {
                trip.fence = Some(fence);
                let reply = self.run(&mut trip).await;
                (self.gate.settle)(token, reply).await
            }
        }
    }

    async fn run(&self, trip: &mut Trip) -> Reply {
        let mut ticket = self.next_ticket();
        let mut grant = self.ask(ticket, trip);
        loop {
            let (upstream, ending) = match granted(grant).await {
                Grant::Refused { why, retry } => return self.give_up(trip, reason(why), retry),
                Grant::Send { upstream, address } => {
                    let ending = self.send(trip, address).await;
                    (upstream, ending)
                }
            };
            if let ExchangeResult::Busy { leaving: false, .. } = ending {
                grant = self.wait(ticket);
                self.report(ticket, &ending);
                continue;
            }
            self.report(ticket, &ending);
            let outcome = ending.outcome();
            trip.doubtful |= outcome == Outcome::Unknown;
            if let ExchangeResult::Ran(answer) = ending {
                return Reply::Ran {
                    status: answer.status,
                    body: answer.body,
                };
            }
            let repeatable = trip.head.idempotent || outcome == Outcome::NotRun;
            if !repeatable || !self.may_retry(trip) {
                return self.give_up(trip, describe(&ending), retry_of(&ending));
            }
            self.counters.retries.add(1);
            trip.avoid.push(upstream);
            ticket = self.next_ticket();
            grant = self.ask(ticket, trip);
        }
    }

    fn may_retry(&self, trip: &Trip) -> bool {
        let mut orgs = self.orgs.borrow_mut();
        orgs.retries(&trip.head.org).take(trip.sends)
    }

    fn next_ticket(&self) -> Ticket {
        let ticket = self.ticket.get() + 1;
        self.ticket.set(ticket);
        Ticket(ticket)
    }

    fn ask(&self, ticket: Ticket, trip: &Trip) -> oneshot::Receiver<Grant> {
        let grant = self.wait(ticket);
        self.step(Input::Request(Request {
            ticket,
            org: trip.head.org.clone(),
            service: trip.head.service.clone(),
            deadline: trip.deadline,
            avoid: trip.avoid.clone(),
        }));
        grant
    }

    /// The next decision on a ticket.
    fn wait(&self, ticket: Ticket) -> oneshot::Receiver<Grant> {
        let (tx, rx) = oneshot::channel();
        self.waits.borrow_mut().insert(ticket, tx);
        rx
    }

    async fn send(&self, trip: &mut Trip, at: std::net::SocketAddr) -> ExchangeResult {
        let now = self.clock.now();
        if trip.sends == 0 {
            let mut orgs = self.orgs.borrow_mut();
            orgs.retries(&trip.head.org).first_send();
        }
        trip.sends += 1;
        let span = Span::start("upstream", Some(trip.trace), now);
        let call = UpstreamRequest {
            id: trip.head.id.clone(),
            service: trip.head.service.clone(),
            body: trip.body.clone(),
            time_left: trip.send_time(now),
            fence: trip.fence,
            trace: span.context(),
            new_connection: trip.sends > 1,
        };
        let ending = self.exchange.send(at, &call).await;
        let name = label(&ending);
        span.close(&self.log, self.clock.now(), name);
        self.counters.sent(&ending, name);
        ending
    }

    fn report(&self, ticket: Ticket, ending: &ExchangeResult) {
        match ending {
            ExchangeResult::IdMismatch => obs::emit(&self.log, Event::AnswerForeign, ""),
            ExchangeResult::TimedOut => obs::emit(&self.log, Event::ConnectionSilent, ""),
            ExchangeResult::Truncated => obs::emit(&self.log, Event::AnswerTruncated, ""),
            _ => {}
        }
        self.step(Input::Done {
            ticket,
            result: blame(ending),
        });
    }

    /// The final answer of a request that did not get a whole one.
    fn give_up(&self, trip: &Trip, why: String, retry: Millis) -> Reply {
        if trip.doubtful {
            return Reply::Unknown {
                why,
                retry: retry.max(RETRY_UNKNOWN),
            };
        }
        if trip.head.idempotent {
            return unsent(&trip.head, &why, retry);
        }
        refused(&why, retry)
    }
}

impl Trip {
    /// Time for the next send. An idempotent request keeps half of its time for another
    /// send, because a connection may have gone silent.
    fn send_time(&self, now: Millis) -> Millis {
        let left = self.deadline.since(now);
        if self.head.idempotent && self.sends < 2 {
            Millis(left.0 / 2)
        } else {
            left
        }
    }
}

async fn granted(grant: oneshot::Receiver<Grant>) -> Grant {
    grant.await.unwrap_or(Grant::Refused {
        why: RefusalReason::Waited,
        retry: RETRY_UNKNOWN,
    })
}

/// The refusal of a request that was not claimed and not sent. Only the first send of an id
/// is known not to have run before.
fn unsent(head: &Head, why: &str, retry: Millis) -> Reply {
    if head.attempt == 1 {
        return refused(why, retry);
    }
    Reply::Unknown {
        why: format!("{why}; an earlier send of the id may have run"),
        retry,
    }
}

fn refused(why: &str, retry: Millis) -> Reply {
    Reply::NotRun {
        why: why.to_string(),
        retry,
    }
}

fn reason(why: RefusalReason) -> String {
    let text = match why {
        RefusalReason::Deadline => "the deadline would pass before an upstream is free",
        RefusalReason::NoService => "no upstream offers the service",
        RefusalReason::QueueFull => "too many requests wait",
        RefusalReason::Waited => "no upstream became free in time",
    };
    text.to_string()
}

fn describe(ending: &ExchangeResult) -> String {
    match ending {
        ExchangeResult::Busy { .. } => "the upstream has no free slot".to_string(),
        ExchangeResult::IdMismatch => "the upstream answered another request".to_string(),
        ExchangeResult::ResponseLost(why) => format!("the answer was lost: {why}"),
        ExchangeResult::NotSent(why) => format!("the upstream was not reached: {why}"),
        ExchangeResult::Ran(_) => "it ran".to_string(),
        ExchangeResult::TimedOut => "no whole answer came in time".to_string(),
        ExchangeResult::Truncated => "the answer was cut short".to_string(),
    }
}

fn retry_of(ending: &ExchangeResult) -> Millis {
    match ending {
        ExchangeResult::Busy { retry, .. } => *retry,
        _ => RETRY_UNKNOWN,
    }
}

fn label(ending: &ExchangeResult) -> &'static str {
    match ending {
        ExchangeResult::Busy { .. } => "busy",
        ExchangeResult::IdMismatch => "foreign",
        ExchangeResult::ResponseLost(_) => "lost",
        ExchangeResult::NotSent(_) => "not-sent",
        ExchangeResult::Ran(_) => "ran",
        ExchangeResult::TimedOut => "silent",
        ExchangeResult::Truncated => "truncated",
    }
}

fn blame(ending: &ExchangeResult) -> SendResult {
    match ending {
        ExchangeResult::Busy { leaving: true, .. } => SendResult::Leaving,
        ExchangeResult::Busy { .. } => SendResult::Busy,
        ExchangeResult::Ran(answer) if answer.status >= 500 => SendResult::Failed,
        ExchangeResult::Ran(_) => SendResult::Served,
        ExchangeResult::TimedOut => SendResult::Inconclusive,
        ExchangeResult::IdMismatch
        | ExchangeResult::ResponseLost(_)
        | ExchangeResult::NotSent(_)
        | ExchangeResult::Truncated => SendResult::Failed,
    }
}
