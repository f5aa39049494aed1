//! Runs a site under a traffic and its troubles.

use std::rc::Rc;

use base::Millis;
use futures_util::future::try_join;

use super::load;
use super::troubles;
use super::Traffic;
use crate::error::SoakError;
use crate::history::History;
use crate::site::Site;

/// Starts the traffic after the lead, and returns the history once waits are watched no more.
pub async fn play(site: &Rc<Site>, traffic: &Traffic, seed: u64) -> Result<History, SoakError> {
    let background = actix_rt::spawn(site.clone().maintain());
    site.sleep(Millis(traffic.lead_ms)).await;
    let end = site.now() + traffic.duration();
    let load = load::run(site.clone(), traffic, seed, end);
    let troubles = troubles::run(site.clone(), traffic, seed, end);
    let (load, ()) = try_join(load, troubles).await?;
    let history = site.finish(load).await;
    background.await.map_err(SoakError::task)?;
    Ok(history)
}
