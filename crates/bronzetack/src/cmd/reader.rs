//! Reads the settings file on a thread of its own, as a file system may take long or hang.

use std::path::PathBuf;
use std::sync::mpsc::sync_channel;
use std::sync::mpsc::SyncSender;
use std::thread;

use conf::batch::BatchConfig;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::mpsc::UnboundedReceiver;

use super::batch::load_batch;
use crate::error::CliError;

/// Reads that wait while one is under way. A further request is answered by the read that waits.
const MAX_WAITING: usize = 1;

/// Reads and validates the settings file for `batch` when asked.
pub struct SettingsReader {
    requests: SyncSender<()>,
    results: UnboundedReceiver<Result<BatchConfig, CliError>>,
}

impl SettingsReader {
    /// Starts the thread. It ends with the process at the latest, also in the middle of a read.
    pub fn start(path: PathBuf) -> Result<SettingsReader, CliError> {
        let (requests, received) = sync_channel(MAX_WAITING);
        let (sender, results) = unbounded_channel();
        let read = move || {
            while received.recv().is_ok() && sender.send(load_batch(&path)).is_ok() {}
        };
        thread::Builder::new()
            .name("settings".to_string())
            .spawn(read)?;
        Ok(SettingsReader { requests, results })
    }

    /// Asks for a read that begins from now on.
    pub fn request(&self) {
        // An error means that such a read waits already.
        let _ = self.requests.try_send(());
    }

    /// Waits for the result of a read. Losing the future loses no result.
    pub async fn next(&mut self) -> Result<BatchConfig, CliError> {
        let ended = || CliError::Io(std::io::Error::other("the settings are not read any more"));
        self.results.recv().await.unwrap_or_else(|| Err(ended()))
    }
}
