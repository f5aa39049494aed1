//! Rejects submissions during an outage of the store, if every other daemon vouches that none of
//! them has written the job; greets the others, so that they know whom to ask.

use base::JobId;
use base::Millis;
use batch::clearance::Member;
use batch::clearance::Question;
use batch::clearance::Standing;
use batch::clearance::Unclear;
use batch::clearance::Vouch;
use futures_util::stream;
use futures_util::StreamExt;
use obs::Event;
use platform::Relay;

use crate::batch::shared::Shared;

/// Time-out of a question. Round trips between daemons take some milliseconds, more on a VM with
/// little processor time.
const QUESTION_TIMEOUT: Millis = Millis(300);

/// Most questions in flight for one submission.
const PARALLEL: usize = 16;

/// Time for which no other submission is asked about after something that concerns all of them kept
/// one from being rejected.
const PAUSE: Millis = Millis(500);

/// Whether a submission that this daemon has not written may be rejected as one that never runs,
/// by the attempt received at `received` or an earlier one.
pub async fn is_unwritten(shared: &Shared, id: &JobId, received: Millis) -> bool {
    if shared.now() < shared.clearance_pause.get() {
        shared.withheld.add(&[("why", "paused")], 1);
        return false;
    }
    let found = ask_all(shared, id, received).await;
    let Err(why) = found else {
        return true;
    };
    if !matches!(why, Unclear::Written(_)) {
        shared.clearance_pause.set(shared.now() + PAUSE);
    }
    shared.withheld.add(&[("why", why.name())], 1);
    if let Some(more) = shared.withheld_log.admit(shared.now()) {
        let fields: &[(&'static str, &dyn std::fmt::Display)] =
            &[("job", id), ("why", &why), ("more", &more)];
        obs::record(&shared.log, Event::RejectionWithheld, fields);
    }
    false
}

async fn ask_all(shared: &Shared, id: &JobId, received: Millis) -> Result<(), Unclear> {
    let standing = &shared.standing;
    let (question, asked) = standing.borrow_mut().question(id, received, shared.now())?;
    let answers = ask(&shared.relay, &question, &asked).await;
    let now = shared.now();
    standing.borrow().judge(&question, &asked, &answers, now)
}

/// Makes this daemon known to those listed that do not know it, and joins if enough do.
pub async fn greet(shared: &Shared) {
    let (question, unknown) = {
        let standing = shared.standing.borrow();
        (standing.greeting(), standing.to_greet())
    };
    let answers = ask(&shared.relay, &question, &unknown).await;
    let mut standing = shared.standing.borrow_mut();
    for (member, answer) in unknown.iter().zip(answers) {
        if answer.is_some() {
            standing.reached(member.callers);
        }
    }
    standing.try_join(shared.now());
}

/// Asks all of `members`. Returns their answers in the same order.
async fn ask(relay: &Relay, question: &Question, members: &[Member]) -> Vec<Option<Vouch>> {
    let body = serde_json::to_vec(question).unwrap_or_default();
    let ask_one = |member: &Member| {
        let sent = relay.ask(member.callers, body.clone(), QUESTION_TIMEOUT);
        async move {
            let answer = sent.await.ok()?;
            serde_json::from_slice(&answer).ok()
        }
    };
    stream::iter(members.iter().map(ask_one))
        .buffered(PARALLEL)
        .collect()
        .await
}

/// Answers another daemon's question; `None` if it cannot be read.
pub fn answer(standing: &mut Standing, question: &[u8], now: Millis) -> Option<Vec<u8>> {
    let question: Question = serde_json::from_slice(question).ok()?;
    serde_json::to_vec(&standing.answer(&question, now)).ok()
}
