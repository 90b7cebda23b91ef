//! Log writer with a bounded queue: it drops lines rather than block the thread
//! that logs.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use flexi_logger::DeferredNow;
use flexi_logger::FormatFunction;
use flexi_logger::writers::LogWriter;
use log::Record;

/// Lines that the queue holds; further ones are dropped and counted. At 300
/// bytes a line, a full queue takes at least 0.6 MB.
const MAX_QUEUED_LINES: usize = 2_048;

/// Time for which the writing thread collects lines for one write, since each
/// wakeup of the thread costs as much as writing several lines.
const BATCH_DELAY: Duration = Duration::from_millis(40);

/// Maximum time for which [`LogWriter::flush`] waits for the output.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which a flush that finds the queue full tries again.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A batch of at least this many bytes gets no further lines.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// Log lines dropped since the process started.
static TOTAL_DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of log lines dropped since the process started, by all
/// writers together.
pub fn dropped_line_count() -> u64 {
    TOTAL_DROPPED_LINES.load(Ordering::Relaxed)
}

/// Message to the thread that writes.
enum Queued {
    Line(Vec<u8>),
    /// Is answered once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Queues log lines for a thread that writes them, and drops lines when the
/// queue is full. The next line that is queued ends with the number of lines
/// dropped before it.
pub struct BoundedWriter {
    format: FormatFunction,
    queue: SyncSender<Queued>,
    /// Lines dropped since the last line that was queued.
    dropped: AtomicU64,
}

impl BoundedWriter {
    /// Starts the thread that writes to `out`; it ends when the writer is
    /// dropped.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(
        format: FormatFunction,
        out: impl Write + Send + 'static,
    ) -> Result<Self, io::Error> {
        let (queue, queued) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name("logs".into())
            .spawn(move || write_queued(&queued, out))?;
        Ok(Self {
            format,
            queue,
            dropped: AtomicU64::new(0),
        })
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        (self.format)(&mut line, now, record)?;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line.extend_from_slice(format!(" lines_dropped_before={dropped}").as_bytes());
        }
        line.push(b'\n');
        if let Err(TrySendError::Full(_)) = self.queue.try_send(Queued::Line(line)) {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
            TOTAL_DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until the lines so far are written, for 0.2 s at most.
    fn flush(&self) -> io::Result<()> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let (written_tx, written) = sync_channel(1);
        let mut request = Queued::Flush(written_tx);
        while let Err(e) = self.queue.try_send(request) {
            let (TrySendError::Full(unsent) | TrySendError::Disconnected(unsent)) = e;
            if Instant::now() >= deadline {
                return Err(io::ErrorKind::TimedOut.into());
            }
            request = unsent;
            thread::sleep(FLUSH_RETRY_INTERVAL);
        }
        written
            .recv_timeout(deadline.saturating_duration_since(Instant::now()))
            .map_err(|_| io::ErrorKind::TimedOut.into())
    }
}

/// Writes queued lines in batches until all senders are dropped.
fn write_queued(queued: &Receiver<Queued>, mut out: impl Write) {
    while let Ok(first) = queued.recv() {
        if matches!(first, Queued::Line(_)) {
            thread::sleep(BATCH_DELAY);
        }
        let mut batch = Vec::new();
        let mut flushed = None;
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                Queued::Line(line) => batch.extend_from_slice(&line),
                Queued::Flush(written) => flushed = Some(written),
            }
            let is_full = batch.len() >= MAX_BATCH_BYTES || flushed.is_some();
            next = if is_full {
                None
            } else {
                queued.try_recv().ok()
            };
        }
        // There is no other place to report that the log cannot be written.
        let _ = out.write_all(&batch);
        if let Some(written) = flushed {
            let _ = out.flush();
            // The one that asked may have stopped waiting.
            let _ = written.send(());
        }
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;
    use std::sync::Mutex;
    use std::sync::mpsc::Sender;
    use std::sync::mpsc::channel;

    use log::Level;

    use super::*;

    /// An output that blocks each write until the test releases it.
    struct BlockedOutput {
        began: Sender<()>,
        release: Receiver<()>,
        written: Sender<Vec<u8>>,
    }

    impl Write for BlockedOutput {
        fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
            // The send fails only after the test has ended.
            let _ = self.began.send(());
            if self.release.recv().is_err() {
                return Ok(buf.len());
            }
            // The send fails only after the test has ended.
            let _ = self.written.send(buf.to_vec());
            Ok(buf.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    fn write_plain(
        w: &mut dyn Write,
        _: &mut DeferredNow,
        record: &Record<'_>,
    ) -> Result<(), io::Error> {
        write!(w, "{}", record.args())
    }

    /// The ends of a [`BlockedOutput`] that the test holds.
    struct OutputControl {
        began: Receiver<()>,
        release: Sender<()>,
        written: Receiver<Vec<u8>>,
    }

    /// Starts a writer whose output blocks each write until it is released.
    fn start_blocked() -> (BoundedWriter, OutputControl) {
        let (began_tx, began) = channel();
        let (release, release_rx) = channel();
        let (written_tx, written) = channel();
        let out = BlockedOutput {
            began: began_tx,
            release: release_rx,
            written: written_tx,
        };
        let writer = BoundedWriter::start(write_plain, out).expect("the writing thread starts");
        let control = OutputControl {
            began,
            release,
            written,
        };
        (writer, control)
    }

    fn log_line(writer: &BoundedWriter) {
        let record = Record::builder()
            .args(format_args!("line"))
            .level(Level::Info)
            .build();
        let written = writer.write(&mut DeferredNow::new(), &record);
        written.expect("the line is queued or dropped");
    }

    #[test]
    fn write_blocked_output_drops_and_counts() {
        let (writer, out) = start_blocked();
        log_line(&writer);
        out.began.recv().expect("the output is written to");
        for _ in 0..MAX_QUEUED_LINES + 100 {
            log_line(&writer);
        }
        let dropped = dropped_line_count();
        assert_eq!(dropped, 100);
        out.release.send(()).expect("the output is blocked");
        let first = out.written.recv().expect("the first line is written");
        assert_eq!(first, b"line\n");
    }

    /// An output that the test can read.
    #[derive(Clone, Default)]
    struct SharedOutput(Arc<Mutex<Vec<u8>>>);

    impl Write for SharedOutput {
        fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
            self.0.lock().expect("not poisoned").extend_from_slice(buf);
            Ok(buf.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    /// Guards against a process whose last lines never reach the log.
    #[test]
    fn flush_lines_before_it_are_written() {
        let out = SharedOutput::default();
        let writer = BoundedWriter::start(write_plain, out.clone());
        let writer = writer.expect("the writing thread starts");
        for _ in 0..3 {
            log_line(&writer);
        }
        writer.flush().expect("the output takes all lines");
        assert_eq!(*out.0.lock().expect("not poisoned"), b"line\nline\nline\n");
    }

    /// Guards against a process that does not end because nobody reads its log.
    #[test]
    fn flush_blocked_output_times_out() {
        let (writer, _out) = start_blocked();
        log_line(&writer);
        assert!(writer.flush().is_err());
    }
}
