//! The operators' settings tree.

mod change;
mod key;
mod place;
mod value;

pub use change::Edit;
pub use change::Item;
pub use change::NameError;
pub use change::OpId;
pub use change::Operator;
pub use change::Record;
pub use key::Key;
pub use key::KeyError;
pub use place::Level;
pub use place::Place;
pub use place::PlaceError;
pub use value::Guarantee;
pub use value::Type;
pub use value::Value;
