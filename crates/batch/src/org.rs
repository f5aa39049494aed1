//! Organisations: what each of them may have running, what it has, and its share when all is full.

mod ledger;
mod limit;
mod rate;
mod share;

pub use ledger::Ledger;
pub use ledger::OrgState;
pub use limit::OrgLimit;
pub use limit::Weight;
pub use limit::WeightError;
pub use rate::Rates;
pub use share::divide;
pub use share::dominant;
pub use share::Demand;
pub use share::History;
