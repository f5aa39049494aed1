//! Carries calls to workers out for the coordinator on another VM.

use std::rc::Rc;

use base::Millis;
use base::VmId;
use batch::StartResponse;
use bytes::Bytes;
use delegate::start_with_retry;
use delegate::Call;
use delegate::Envelope;
use delegate::Response;
use link::LinkConfig;
use link::LinkEvent;
use link::Links;
use link::Replier;
use obs::Event;
use platform::CallError;
use platform::PollResponse;

use crate::batch::delegates;
use crate::batch::shared::Shared;
use crate::daemon::DaemonError;

/// Name under which the links of a site's batch daemons recognise each other.
const SITE: &str = "batch";

/// Most calls that are carried out at a time. Further ones are refused, so that a burst cannot use
/// up the memory of a small VM.
const MAX_CALLS: usize = 2_048;

/// Most bytes that wait to be sent to one daemon, and longest message. A report of a worker with
/// hundreds of runs has some tens of kilobytes.
const QUEUE_BYTES: usize = 1 << 20;

/// Silence after which a link is closed, and the time without traffic after which a sign of life is
/// sent.
const SILENCE: (Millis, Millis) = (Millis(800), Millis(200));

/// Opens the port for links, if the settings name one.
pub fn listen(shared: &Rc<Shared>) -> Result<(), DaemonError> {
    let Some(address) = shared.settings.addresses.links else {
        return Ok(());
    };
    let settings = &shared.settings;
    let config = LinkConfig {
        queue_limit: QUEUE_BYTES,
        frame_limit: QUEUE_BYTES,
        idle_timeout: SILENCE.0,
        keepalive_interval: SILENCE.1,
        ..LinkConfig::new(settings.vm.clone(), settings.domain.clone(), SITE, address)
    };
    let weak = Rc::downgrade(shared);
    let on_event = move |event| {
        if let Some(shared) = weak.upgrade() {
            handle(&shared, event);
        }
    };
    let links = Links::start(
        config,
        shared.log.clone(),
        &shared.metrics,
        shared.clock.clone(),
        on_event,
    );
    let links = links.map_err(|e| DaemonError::Port("links", address, e))?;
    *shared.links.borrow_mut() = Some(links);
    Ok(())
}

/// Tells all linked daemons that this one is about to stop, so that no further calls come.
pub fn announce_stop(shared: &Shared) {
    let links = shared.links.borrow();
    let Some(links) = links.as_ref() else { return };
    for peer in links.peers().iter().filter(|p| p.link.is_some()) {
        // A lost announcement only costs the calls that are cut when the link closes.
        if let Err(error) = links.send(&peer.vm, delegates::LEAVING, Bytes::new()) {
            let fields: &[(&'static str, &dyn std::fmt::Display)] =
                &[("peer", &peer.vm), ("error", &error)];
            obs::record(&shared.log, Event::RelayFailed, fields);
        }
    }
}

fn handle(shared: &Rc<Shared>, event: LinkEvent) {
    let now = shared.now();
    match event {
        LinkEvent::Up(vm) => {
            shared.call_ages.borrow_mut().remove(&vm);
            shared.assignment.borrow_mut().link_up(&vm);
        }
        LinkEvent::Down(vm) => shared.assignment.borrow_mut().link_down(&vm, now),
        LinkEvent::Message { from, topic, .. } if topic == delegates::LEAVING => {
            shared.assignment.borrow_mut().suspend(&from, now);
        }
        LinkEvent::Message { .. } => {}
        LinkEvent::Request { topic, reply, .. } if topic == delegates::PING => {
            respond(shared, reply, Bytes::new());
        }
        LinkEvent::Request {
            from,
            topic,
            body,
            reply,
        } if topic == delegates::CALL => receive(shared, &from, &body, reply),
        // Dropping the handle tells the sender that there is no reply.
        LinkEvent::Request { .. } => {}
    }
}

fn receive(shared: &Rc<Shared>, from: &VmId, body: &[u8], reply: Replier) {
    let envelope = match Envelope::decode(body) {
        Ok(envelope) => envelope,
        Err(error) => {
            let fields: &[(&'static str, &dyn std::fmt::Display)] =
                &[("peer", from), ("error", &error)];
            obs::record(&shared.log, Event::InputRefused, fields);
            return;
        }
    };
    let received = shared.clock.wall();
    let stalled = shared.stalls.borrow_mut().beat(shared.now());
    let mut ages = shared.call_ages.borrow_mut();
    let in_time = ages
        .entry(from.clone())
        .or_default()
        .accept(envelope.sent, received, stalled);
    drop(ages);
    let refusal = match () {
        () if !in_time => Some("the call reached the delegate too late"),
        () if shared.carried.get() >= MAX_CALLS => Some("the delegate has too many open calls"),
        () => None,
    };
    if let Some(why) = refusal {
        shared.refused_calls.add(&[], 1);
        send(shared, reply, &refuse(&envelope.call, why));
        return;
    }
    shared.carried.set(shared.carried.get() + 1);
    let shared = shared.clone();
    actix_rt::spawn(async move {
        let response = carry_out(&shared, envelope.call).await;
        shared.carried.set(shared.carried.get() - 1);
        shared.carried_calls.add(&[], 1);
        send(&shared, reply, &response);
    });
}

/// Response to a call that is not carried out.
fn refuse(call: &Call, why: &str) -> Response {
    match call {
        Call::Start(_) => Response::Started(StartResponse::Refused(why.to_string())),
        Call::Poll(..) | Call::Stop(_) | Call::Throttle(_) => {
            Response::Failed(why.to_string(), true)
        }
    }
}

async fn carry_out(shared: &Shared, call: Call) -> Response {
    let failed = |error: CallError| {
        let unsent = matches!(error, CallError::NotSent(_));
        Response::Failed(error.to_string(), unsent)
    };
    match call {
        Call::Poll(worker, request) => match shared.workers.poll(&worker, &request).await {
            Ok(PollResponse::Fenced) => Response::Fenced,
            Ok(PollResponse::Refused(status)) => Response::Refused(status),
            Ok(PollResponse::Report(report)) => Response::Report(report),
            Err(error) => failed(error),
        },
        Call::Start(request) => {
            let attempt = |timeout| shared.workers.start(&request, timeout);
            Response::Started(start_with_retry(attempt, || shared.now()).await)
        }
        Call::Stop(request) => {
            let stopped = shared.workers.stop(&request).await;
            stopped.map_or_else(failed, Response::Stopped)
        }
        Call::Throttle(request) => {
            let throttled = shared.workers.throttle(&request).await;
            throttled.map_or_else(failed, Response::Throttled)
        }
    }
}

fn send(shared: &Shared, reply: Replier, response: &Response) {
    match response.encode() {
        Ok(body) => respond(shared, reply, body),
        Err(error) => obs::record(&shared.log, Event::InputRefused, &[("error", &error)]),
    }
}

/// Sends a reply. If the link has ended, the coordinator has already given up on the call.
fn respond(shared: &Shared, reply: Replier, body: Bytes) {
    if reply.send(body).is_err() {
        shared.lost_replies.add(&[], 1);
    }
}
