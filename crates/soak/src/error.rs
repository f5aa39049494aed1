//! Error of a soak that could not be carried out.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Reason why a soak could not be carried out.
    #[derive(Debug)]
    pub enum SoakError {
        /// A file, port or process could not be used; the text says which.
        Io(subject: String, error: io::Error) {
            display("{subject}: {error}")
        }
        /// A traffic file is not valid; the text says what is wrong with it.
        Traffic(file: String, problem: String) {
            display("{file}: {problem}")
        }
        /// A task of the soak program panicked.
        Task(text: String) {
            display("a task of the soak program panicked: {text}")
        }
    }
}

impl SoakError {
    /// Error of a task that could not be joined.
    pub(crate) fn task(error: impl ToString) -> SoakError {
        SoakError::Task(error.to_string())
    }
}
