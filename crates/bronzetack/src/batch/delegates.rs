//! Calls of the coordinator to workers, made directly or through delegates: daemons that carry calls
//! out for it.

use std::collections::BTreeMap;
use std::rc::Rc;

use base::DomainId;
use base::Millis;
use base::VmId;
use base::WorkerId;
use batch::PollRequest;
use batch::StartRequest;
use batch::StartResponse;
use batch::StopRequest;
use batch::ThrottleRequest;
use batch::REQUEST_TIMEOUT;
use bytes::Bytes;
use delegate::start_with_retry;
use delegate::Call;
use delegate::Delegate;
use delegate::Envelope;
use delegate::Response;
use delegate::Route;
use delegate::START_TIMEOUT;
use link::CallError as LinkCallError;
use link::Topic;
use obs::Event;
use platform::CallError;
use platform::PollResponse;

use crate::batch::leadership::Leadership;
use crate::batch::shared::Shared;

/// Topic of calls to workers.
pub const CALL: Topic = Topic(1);

/// Topic of checks whether a delegate answers in time.
pub const PING: Topic = Topic(2);

/// Topic of the message that a daemon is about to stop.
pub const LEAVING: Topic = Topic(3);

/// Time that a call may take on the way to a delegate and back, beside the worker's response time.
const LINK_TIME: Millis = Millis(400);

/// Time between two checks of the delegates.
const CHECK_INTERVAL: Millis = Millis(500);

/// Longest response time of a delegate to a check.
const PING_TIMEOUT: Millis = Millis(400);

/// Longest wait for links to delegates at a take-over, and the time between two looks at them.
const LINK_WAIT: (Millis, Millis) = (Millis(300), Millis(20));

/// The wait ends once less than one delegate in this many is without a link.
const MISSING_DIVISOR: usize = 6;

/// Chooses delegates and checks them until the leadership ends.
pub async fn run(shared: Rc<Shared>, lead: Rc<Leadership>) {
    while !lead.ended.get() {
        choose(&shared, &lead);
        for vm in usable(&shared) {
            actix_rt::spawn(check(shared.clone(), vm));
        }
        shared.sleep(CHECK_INTERVAL).await;
    }
    if let Some(links) = shared.links.borrow().as_ref() {
        links.set_peers(Vec::new());
    }
}

fn usable(shared: &Shared) -> Vec<VmId> {
    let assignment = shared.assignment.borrow();
    let usable = assignment.usable(shared.now());
    usable.map(|d| d.vm.clone()).collect()
}

/// Waits a short time for links to most of the delegates. Some may be on VMs that are gone but still
/// listed.
pub async fn wait_for_links(shared: &Shared, lead: &Leadership) {
    let until = shared.now() + LINK_WAIT.0;
    let missing = || {
        let assignment = shared.assignment.borrow();
        assignment.missing() * MISSING_DIVISOR > assignment.wanted().len()
    };
    while missing() && shared.now() < until && !lead.ended.get() {
        shared.sleep(LINK_WAIT.1).await;
    }
}

/// Chooses the delegates for the workers that are listed now.
pub fn choose(shared: &Shared, lead: &Leadership) {
    let links = shared.links.borrow();
    let Some(links) = links.as_ref() else { return };
    let mut workers: BTreeMap<DomainId, usize> = BTreeMap::new();
    for domain in lead.scheduler.borrow().worker_domains() {
        *workers.entry(domain.clone()).or_default() += 1;
    }
    let peers = shared.peers.borrow();
    let known = peers.iter().filter_map(|p| {
        Some(Delegate {
            vm: p.vm.clone(),
            domain: p.domain.clone(),
            address: p.links?,
            strength: p.capacity.workers(),
        })
    });
    let known: Vec<Delegate> = known.collect();
    let wanted = {
        let mut assignment = shared.assignment.borrow_mut();
        assignment.choose(&workers, &known, shared.now());
        assignment.wanted()
    };
    links.set_peers(wanted);
}

/// Suspends a delegate that does not answer in time.
async fn check(shared: Rc<Shared>, vm: VmId) {
    let Some(links) = shared.links.borrow().clone() else {
        return;
    };
    let result = links.request(&vm, PING, Bytes::new(), PING_TIMEOUT).await;
    let Err(error) = result else { return };
    shared.assignment.borrow_mut().suspend(&vm, shared.now());
    let fields: &[(&'static str, &dyn std::fmt::Display)] = &[("delegate", &vm), ("error", &error)];
    obs::record(&shared.log, Event::DelegateSuspended, fields);
}

/// Starts a run. Without a valid response the result is `Unknown`: the run may have started.
pub async fn start(shared: &Shared, lead: &Leadership, request: &StartRequest) -> StartResponse {
    let call = || Call::Start(Box::new(request.clone()));
    match carry(shared, lead, &request.worker, call, START_TIMEOUT).await {
        Ok(None) => {
            let attempt = |timeout| shared.workers.start(request, timeout);
            start_with_retry(attempt, || shared.now()).await
        }
        Ok(Some(Response::Started(response))) => response,
        Ok(Some(_)) => StartResponse::Unknown(UNEXPECTED.to_string()),
        Err(why) => StartResponse::Unknown(why),
    }
}

/// Stops a run. Returns a reading of the worker's clock if the worker accepted the request.
pub async fn stop(
    shared: &Shared,
    lead: &Leadership,
    request: &StopRequest,
) -> Result<Option<u64>, CallError> {
    let call = || Call::Stop(request.clone());
    match carry(shared, lead, &request.worker, call, REQUEST_TIMEOUT).await {
        Ok(None) => shared.workers.stop(request).await,
        Ok(Some(Response::Stopped(clock))) => Ok(clock),
        Ok(Some(other)) => Err(failure(other)),
        Err(why) => Err(CallError::Unknown(why)),
    }
}

/// Limits the processor share of a run. Returns whether the worker accepted the request.
pub async fn throttle(
    shared: &Shared,
    lead: &Leadership,
    request: &ThrottleRequest,
) -> Result<bool, CallError> {
    let call = || Call::Throttle(request.clone());
    match carry(shared, lead, &request.worker, call, REQUEST_TIMEOUT).await {
        Ok(None) => shared.workers.throttle(request).await,
        Ok(Some(Response::Throttled(accepted))) => Ok(accepted),
        Ok(Some(other)) => Err(failure(other)),
        Err(why) => Err(CallError::Unknown(why)),
    }
}

/// Polls a worker.
pub async fn poll(
    shared: &Shared,
    lead: &Leadership,
    worker: &WorkerId,
    request: &PollRequest,
) -> Result<PollResponse, CallError> {
    let call = || Call::Poll(worker.clone(), request.clone());
    let timeout = REQUEST_TIMEOUT + request.wait;
    match carry(shared, lead, worker, call, timeout).await {
        Ok(None) => {
            let response = shared.workers.poll(worker, request).await;
            if response.is_err() {
                let mut assignment = shared.assignment.borrow_mut();
                assignment.call_failed(worker, &Route::Direct, shared.now());
            }
            response
        }
        Ok(Some(Response::Fenced)) => Ok(PollResponse::Fenced),
        Ok(Some(Response::Refused(status))) => Ok(PollResponse::Refused(status)),
        Ok(Some(Response::Report(report))) => Ok(PollResponse::Report(report)),
        Ok(Some(other)) => Err(failure(other)),
        Err(why) => Err(CallError::Unknown(why)),
    }
}

const UNEXPECTED: &str = "unexpected response of the delegate";

fn failure(response: Response) -> CallError {
    match response {
        Response::Failed(why, true) => CallError::NotSent(why),
        Response::Failed(why, false) => CallError::Unknown(why),
        _ => CallError::Unknown(UNEXPECTED.to_string()),
    }
}

/// Sends a call through the worker's delegate. Returns `None` if the coordinator is to make it
/// itself, and an error if it is not known whether the worker received it.
async fn carry(
    shared: &Shared,
    lead: &Leadership,
    worker: &WorkerId,
    call: impl FnOnce() -> Call,
    timeout: Millis,
) -> Result<Option<Response>, String> {
    let domain = lead.scheduler.borrow().domain_of(worker);
    let Some(domain) = domain else {
        return Ok(None);
    };
    let route = shared
        .assignment
        .borrow()
        .route(worker, &domain, shared.now());
    let links = shared.links.borrow().clone();
    let (Route::Via(vm), Some(links)) = (&route, links) else {
        return Ok(None);
    };
    let envelope = Envelope {
        sent: shared.clock.wall(),
        call: call(),
    };
    let body = envelope.encode().map_err(|e| e.to_string())?;
    match links.request(vm, CALL, body, timeout + LINK_TIME).await {
        Ok(body) => {
            let response = Response::decode(&body).map_err(|e| e.to_string())?;
            if matches!(response, Response::Failed(..)) {
                let mut assignment = shared.assignment.borrow_mut();
                assignment.call_failed(worker, &route, shared.now());
            }
            Ok(Some(response))
        }
        Err(LinkCallError::NotSent(_)) => Ok(None),
        Err(error) => Err(format!("delegate {vm}: {error}")),
    }
}
