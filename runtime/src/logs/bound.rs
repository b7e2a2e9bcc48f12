//! A limit on queued log lines, with a count of the dropped ones.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use logforth::Append;
use logforth::Diagnostic;
use logforth::Error;
use logforth::record::Record;

/// The number of lines queued between the logging threads and the writer.
#[derive(Debug, Clone, Default)]
pub(super) struct QueuedLines(Arc<AtomicUsize>);

/// Accepts lines while fewer than `limit` are queued.
#[derive(Debug)]
pub(super) struct BoundedAppend<A> {
    pub(super) inner: A,
    pub(super) queued_lines: QueuedLines,
    pub(super) limit: usize,
}

/// Writes lines and removes them from the count.
#[derive(Debug)]
pub(super) struct CountingAppend<A> {
    pub(super) inner: A,
    pub(super) queued_lines: QueuedLines,
}

impl<A: Append> Append for BoundedAppend<A> {
    // If the reader of the log stalls, a full queue would block the threads that
    // serve requests or exhaust memory. Lines over the limit are dropped and
    // counted, so that gaps in the log are visible.
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let before = self.queued_lines.0.fetch_add(1, Ordering::Relaxed);
        if before >= self.limit {
            self.queued_lines.0.fetch_sub(1, Ordering::Relaxed);
            metrics::counter!("snipeyoke_log_dropped_total").increment(1);
            return Ok(());
        }
        self.inner.append(record, diags)
    }

    fn flush(&self) -> Result<(), Error> {
        self.inner.flush()
    }
}

impl<A: Append> Append for CountingAppend<A> {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        self.queued_lines.0.fetch_sub(1, Ordering::Relaxed);
        self.inner.append(record, diags)
    }

    fn flush(&self) -> Result<(), Error> {
        self.inner.flush()
    }
}
