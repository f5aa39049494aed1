//! Forwards one request: claims it, waits for an upstream, sends, retries and answers.

use std::rc::Rc;

use base::Millis;
use base::Outcome;
use base::WorkerId;
use bytes::Bytes;
use obs::Event;
use obs::Span;
use obs::TraceParent;
use route::Input;
use route::LostPause;
use route::RefusalReason;
use route::Request;
use route::SendResult;
use route::Ticket;
use tokio::sync::oneshot;
use work::ExchangeResult;
use work::UpstreamRequest;

use super::Decision;
use super::Inner;
use crate::claims::Claimed;
use crate::head::RequestHead;
use crate::msg::Reply;
use crate::msg::ServeRequest;

/// Retry delay for the caller if the outcome is unknown or the upstream named no delay.
const RETRY_AFTER_UNKNOWN: Millis = Millis(1_000);

/// Retry delay for the caller if too many requests are open in this daemon.
const RETRY_AFTER_FULL: Millis = Millis(250);

/// Retry delay for the caller if the settings of the organisation refuse the request.
const RETRY_AFTER_ORG_REFUSAL: Millis = Millis(2_000);

/// State of a request that is being forwarded.
struct ActiveRequest {
    head: RequestHead,
    body: Bytes,
    deadline: Millis,
    trace: TraceParent,
    /// Fencing token of the claim, if the request is not idempotent.
    fence: Option<u64>,
    /// How often the request was sent to an upstream.
    sends: u32,
    /// Upstreams that were tried without a complete answer.
    avoid: Vec<WorkerId>,
    /// Whether an earlier send may have run.
    may_have_run: bool,
}

impl Inner {
    /// Forwards a request and returns its final answer.
    pub(super) async fn serve(self: Rc<Inner>, msg: ServeRequest) -> Reply {
        let now = self.clock.now();
        let span = Span::start("entry", msg.head.trace, now);
        let refusal = self.orgs.borrow().refusal(&msg.head, msg.body.len());
        let reply = if let Some(why) = refusal {
            unsent_reply(&msg.head, &why, RETRY_AFTER_ORG_REFUSAL)
        } else if self.open.get() >= self.max_open {
            let why = "too many requests are open in this daemon";
            unsent_reply(&msg.head, why, RETRY_AFTER_FULL)
        } else {
            self.count_open(1);
            let reply = self.claim_and_send(msg, now, span.context()).await;
            self.count_open(-1);
            reply
        };
        self.counters.count_answer(reply.outcome());
        self.log_reply(&reply);
        span.close(&self.log, self.clock.now(), reply.outcome().name());
        reply
    }

    fn count_open(&self, change: isize) {
        let open = self.open.get().saturating_add_signed(change);
        self.open.set(open);
        self.counters.open.set(open as i64);
    }

    /// Logs a reply that is not a complete answer.
    fn log_reply(&self, reply: &Reply) {
        match reply {
            Reply::NotRun { why, .. } => obs::emit(&self.log, Event::RequestRefused, why),
            Reply::Ran { .. } => {}
            Reply::Unknown { why, .. } => obs::emit(&self.log, Event::RequestUnknown, why),
        }
    }

    /// Sends the request. If it is not idempotent, claims it first and settles the claim afterwards.
    async fn claim_and_send(&self, msg: ServeRequest, now: Millis, trace: TraceParent) -> Reply {
        let mut request = ActiveRequest {
            deadline: now + msg.head.time_left,
            head: msg.head,
            body: msg.body,
            trace,
            fence: None,
            sends: 0,
            avoid: Vec::new(),
            may_have_run: false,
        };
        if request.head.idempotent {
            if let Some(pause) = self.pause(&request) {
                request.may_have_run = true;
                return self.failure_reply(&request, pause_text(&pause), pause.left);
            }
            return self.send_with_retries(&mut request).await;
        }
        match (self.claims.claim)(request.head.clone()).await {
            Claimed::Answer(reply) => reply,
            Claimed::Send { fence, token } => {
                request.fence = Some(fence);
                let reply = self.send_with_retries(&mut request).await;
                (self.claims.settle)(token, reply).await
            }
        }
    }

    /// Sends the request until it is answered, may not be sent again or is refused by the balancer.
    async fn send_with_retries(&self, request: &mut ActiveRequest) -> Reply {
        let mut ticket = self.next_ticket();
        let mut decision = self.request_upstream(ticket, request);
        loop {
            let (upstream, ending) = match receive(decision).await {
                Decision::Refused { why, retry } => {
                    return self.failure_reply(request, refusal_text(why), retry)
                }
                Decision::Send { upstream, address } => {
                    let ending = self.send(request, address).await;
                    (upstream, ending)
                }
            };
            if let ExchangeResult::Busy { leaving: false, .. } = ending {
                decision = self.register_waiter(ticket);
                self.report(ticket, &ending);
                continue;
            }
            self.report(ticket, &ending);
            let outcome = ending.outcome();
            request.may_have_run |= outcome == Outcome::Unknown;
            self.note_break(request, &upstream, &ending);
            if let ExchangeResult::Ran(answer) = ending {
                return Reply::Ran {
                    status: answer.status,
                    body: answer.body,
                };
            }
            let repeatable = request.head.idempotent || outcome == Outcome::NotRun;
            if let Some(pause) = self.pause(request) {
                return self.failure_reply(request, pause_text(&pause), pause.left);
            }
            if !repeatable || !self.take_retry(request) {
                return self.failure_reply(request, ending_text(&ending), retry_after(&ending));
            }
            self.counters.retries.add(1);
            request.avoid.push(upstream);
            ticket = self.next_ticket();
            decision = self.request_upstream(ticket, request);
        }
    }

    /// Takes a retry from the budget of the organisation. Returns `false` if none is left.
    fn take_retry(&self, request: &ActiveRequest) -> bool {
        let mut orgs = self.orgs.borrow_mut();
        orgs.retry_budget(&request.head.org).take(request.sends)
    }

    /// Notes whether the connection to an upstream broke while it worked on the request.
    fn note_break(&self, request: &ActiveRequest, upstream: &WorkerId, ending: &ExchangeResult) {
        let mut lost = self.lost.borrow_mut();
        match ending {
            ExchangeResult::Ran(_) => lost.forget(&request.head.id),
            ExchangeResult::ResponseLost(_) | ExchangeResult::Truncated => {
                lost.record(&request.head.id, upstream, self.clock.now());
            }
            _ => {}
        }
    }

    /// The pause that the request has to keep after connections broke under it.
    fn pause(&self, request: &ActiveRequest) -> Option<LostPause> {
        let lost = self.lost.borrow();
        lost.pause(&request.head.id, self.clock.now())
    }

    fn next_ticket(&self) -> Ticket {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        Ticket(ticket)
    }

    /// Asks the balancer for an upstream. Returns the receiver of its decision.
    fn request_upstream(
        &self,
        ticket: Ticket,
        request: &ActiveRequest,
    ) -> oneshot::Receiver<Decision> {
        let decision = self.register_waiter(ticket);
        self.step(Input::Request(Request {
            ticket,
            org: request.head.org.clone(),
            service: request.head.service.clone(),
            deadline: request.deadline,
            avoid: request.avoid.clone(),
        }));
        decision
    }

    /// Registers for the next decision on a ticket.
    fn register_waiter(&self, ticket: Ticket) -> oneshot::Receiver<Decision> {
        let (tx, rx) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, tx);
        rx
    }

    /// Sends the request to an upstream once.
    async fn send(&self, request: &mut ActiveRequest, at: std::net::SocketAddr) -> ExchangeResult {
        let now = self.clock.now();
        if request.sends == 0 {
            let mut orgs = self.orgs.borrow_mut();
            orgs.retry_budget(&request.head.org).first_send();
        }
        request.sends += 1;
        let span = Span::start("upstream", Some(request.trace), now);
        let call = UpstreamRequest {
            id: request.head.id.clone(),
            service: request.head.service.clone(),
            body: request.body.clone(),
            time_left: request.send_timeout(now),
            fence: request.fence,
            trace: span.context(),
            new_connection: request.sends > 1,
        };
        let ending = self.exchange.send(at, &call).await;
        let name = ending_label(&ending);
        span.close(&self.log, self.clock.now(), name);
        self.counters.count_send(&ending, name);
        ending
    }

    /// Logs protocol faults of the upstream and reports the result to the balancer.
    fn report(&self, ticket: Ticket, ending: &ExchangeResult) {
        match ending {
            ExchangeResult::IdMismatch => obs::emit(&self.log, Event::AnswerMismatched, ""),
            ExchangeResult::TimedOut => obs::emit(&self.log, Event::ConnectionSilent, ""),
            ExchangeResult::Truncated => obs::emit(&self.log, Event::AnswerTruncated, ""),
            _ => {}
        }
        self.step(Input::Done {
            ticket,
            result: send_result(ending),
        });
    }

    /// The final answer of a request without a complete answer of an upstream.
    fn failure_reply(&self, request: &ActiveRequest, why: String, retry: Millis) -> Reply {
        if request.may_have_run {
            return Reply::Unknown {
                why,
                retry: retry.max(RETRY_AFTER_UNKNOWN),
            };
        }
        if request.head.idempotent {
            return unsent_reply(&request.head, &why, retry);
        }
        not_run_reply(&why, retry)
    }
}

impl ActiveRequest {
    /// Time limit for the current send. The first send of an idempotent request gets half of the
    /// remaining time, which leaves time for another send if the connection stalls.
    fn send_timeout(&self, now: Millis) -> Millis {
        let left = self.deadline.since(now);
        if self.head.idempotent && self.sends < 2 {
            Millis(left.0 / 2)
        } else {
            left
        }
    }
}

/// Waits for a decision. A dropped sender counts as a refusal.
async fn receive(decision: oneshot::Receiver<Decision>) -> Decision {
    decision.await.unwrap_or(Decision::Refused {
        why: RefusalReason::Waited,
        retry: RETRY_AFTER_UNKNOWN,
    })
}

/// The answer to a request that was not claimed and did not run through this daemon. Only the
/// caller's first send of the id is known not to have run: before a later one, an earlier send may
/// have run.
fn unsent_reply(head: &RequestHead, why: &str, retry: Millis) -> Reply {
    if head.attempt == 1 {
        return not_run_reply(why, retry);
    }
    Reply::Unknown {
        why: format!("{why}; an earlier send of the id may have run"),
        retry,
    }
}

fn not_run_reply(why: &str, retry: Millis) -> Reply {
    Reply::NotRun {
        why: why.to_string(),
        retry,
    }
}

fn pause_text(pause: &LostPause) -> String {
    format!(
        "connections to {} upstreams broke while they worked on this request; it is not sent again \
         for {}",
        pause.upstreams, pause.left
    )
}

fn refusal_text(why: RefusalReason) -> String {
    let text = match why {
        RefusalReason::Deadline => "the deadline would pass before an upstream is free",
        RefusalReason::NoService => "no upstream offers the service",
        RefusalReason::QueueFull => "too many requests wait",
        RefusalReason::Waited => "no upstream became free in time",
    };
    text.to_string()
}

fn ending_text(ending: &ExchangeResult) -> String {
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

fn retry_after(ending: &ExchangeResult) -> Millis {
    match ending {
        ExchangeResult::Busy { retry, .. } => *retry,
        _ => RETRY_AFTER_UNKNOWN,
    }
}

/// Value of the `end` label in metrics, and result of the span.
fn ending_label(ending: &ExchangeResult) -> &'static str {
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

/// How the balancer rates the end of a send. An answer with a status of 500 or more is a failure.
fn send_result(ending: &ExchangeResult) -> SendResult {
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
