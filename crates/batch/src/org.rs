//! Organisations: what each of them may have running, and what it has.

mod ledger;
mod limit;

pub use ledger::Ledger;
pub use ledger::OrgState;
pub use limit::OrgLimit;
pub use limit::Weight;
pub use limit::WeightError;
