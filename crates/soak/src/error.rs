//! Why a soak could not be run.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Why a soak could not be run.
    #[derive(Debug)]
    pub enum SoakError {
        /// A file, a port or a process.
        Io(place: String, error: io::Error) {
            display("{place}: {error}")
        }
        /// A task of the soak has panicked.
        Task(text: String) {
            display("a task of the soak has ended: {text}")
        }
    }
}
