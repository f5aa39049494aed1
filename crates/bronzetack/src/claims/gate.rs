//! The gate of the request service, backed by the service of claims.

use std::rc::Rc;

use actix::Addr;
use entry::ClaimClient;
use entry::Claimed;
use entry::Reply;
use futures_util::FutureExt;
use kernel::ServiceRegistry;

use super::answer;
use super::ClaimCall;
use super::Claiming;
use super::Settle;
use super::CLAIMS;

/// A gate that finds the service of claims by its name.
pub fn gate(names: ServiceRegistry) -> ClaimClient {
    let for_claims = names.clone();
    ClaimClient {
        claim: Rc::new(move |head| {
            let claims = for_claims.find::<Addr<Claiming>>(CLAIMS);
            async move {
                let Ok(claims) = claims else {
                    return Claimed::Answer(answer::stopping());
                };
                let claimed = claims.send(ClaimCall(head)).await;
                claimed.unwrap_or_else(|_| Claimed::Answer(answer::stopping()))
            }
            .boxed_local()
        }),
        settle: Rc::new(move |token, reply: Reply| {
            let claims = names.find::<Addr<Claiming>>(CLAIMS);
            async move {
                let Ok(claims) = claims else {
                    return answer::doubtful(&reply);
                };
                let backup = answer::doubtful(&reply);
                let told = claims.send(Settle { token, reply }).await;
                told.unwrap_or(backup)
            }
            .boxed_local()
        }),
    }
}
