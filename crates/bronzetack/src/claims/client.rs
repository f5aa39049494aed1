//! Client through which the requests service claims requests and settles the claims.

use std::rc::Rc;

use actix::Addr;
use entry::ClaimClient;
use entry::Claimed;
use entry::Reply;
use futures_util::FutureExt;
use kernel::ServiceRegistry;

use super::answer;
use super::ClaimRequest;
use super::ClaimsActor;
use super::Settle;
use super::CLAIMS;

/// Creates a client that looks up the claims service by name at each call. While the daemon stops,
/// the service may be closed already: claims are then answered as unknown, and so are the outcomes
/// of requests that did not run.
pub fn client(registry: ServiceRegistry) -> ClaimClient {
    let claim_registry = registry.clone();
    ClaimClient {
        claim: Rc::new(move |head| {
            let claims = claim_registry.find::<Addr<ClaimsActor>>(CLAIMS);
            async move {
                let Ok(claims) = claims else {
                    return Claimed::Answer(answer::stopping());
                };
                let claimed = claims.send(ClaimRequest(head)).await;
                claimed.unwrap_or_else(|_| Claimed::Answer(answer::stopping()))
            }
            .boxed_local()
        }),
        settle: Rc::new(move |token, reply: Reply| {
            let claims = registry.find::<Addr<ClaimsActor>>(CLAIMS);
            async move {
                let Ok(claims) = claims else {
                    return answer::not_recorded(&reply);
                };
                let fallback = answer::not_recorded(&reply);
                let settled = claims.send(Settle { token, reply }).await;
                settled.unwrap_or(fallback)
            }
            .boxed_local()
        }),
    }
}
