//! Link metrics.

use obs::Counter;
use obs::Gauge;
use obs::Metrics;

pub(crate) struct Stats {
    pub(crate) frames: Counter,
    pub(crate) messages: Counter,
    pub(crate) bytes: Counter,
    pub(crate) refused: Counter,
    pub(crate) ended: Counter,
    pub(crate) dials: Counter,
    pub(crate) up: Gauge,
}

impl Stats {
    pub(crate) fn new(metrics: &Metrics) -> Stats {
        Stats {
            frames: metrics.counter("link_frames", "Frames on links by direction"),
            messages: metrics.counter("link_messages", "Messages on links by direction"),
            bytes: metrics.counter("link_bytes", "Bytes of frames on links by direction"),
            refused: metrics.counter("link_refused", "Messages not taken, by reason"),
            ended: metrics.counter("link_ended", "Links ended or not made, by reason"),
            dials: metrics.counter("link_dials", "Dials of peers"),
            up: metrics.gauge("link_up", "Links that are up"),
        }
    }

    /// Counts a frame; `way` is `in` or `out`.
    pub(crate) fn count_frame(&self, way: &str, messages: usize, bytes: usize) {
        let labels = [("way", way)];
        self.frames.add(&labels, 1);
        self.messages.add(&labels, messages as u64);
        self.bytes.add(&labels, bytes as u64);
    }
}
