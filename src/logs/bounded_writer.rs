//! Log writer with a bounded queue: it drops lines rather than block the thread
//! that logs.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use flexi_logger::DeferredNow;
use flexi_logger::FormatFunction;
use flexi_logger::writers::LogWriter;
use log::Record;

/// Lines that the queue holds; further ones are dropped and counted. At 300
/// bytes a line, a full queue takes at least 0.6 MB.
const MAX_QUEUED_LINES: usize = 2_048;

/// Time for which the writing thread collects lines for one write, since each
/// wakeup of the thread costs as much as writing several lines. A process that
/// ends may lose the lines that are not yet written.
const BATCH_DELAY: Duration = Duration::from_millis(40);

/// A batch of at least this many bytes gets no further lines.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// Log lines dropped since the process started.
static TOTAL_DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of log lines dropped since the process started, by all
/// writers together.
pub fn dropped_line_count() -> u64 {
    TOTAL_DROPPED_LINES.load(Ordering::Relaxed)
}

/// Queues log lines for a thread that writes them, and drops lines when the
/// queue is full. The next line that is queued ends with the number of lines
/// dropped before it.
pub struct BoundedWriter {
    format: FormatFunction,
    queue: SyncSender<Vec<u8>>,
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
        let (queue, queued_lines) = sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
        let mut out = out;
        thread::Builder::new().name("logs".into()).spawn(move || {
            while let Ok(mut batch) = queued_lines.recv() {
                thread::sleep(BATCH_DELAY);
                while batch.len() < MAX_BATCH_BYTES
                    && let Ok(line) = queued_lines.try_recv()
                {
                    batch.extend_from_slice(&line);
                }
                // There is no other place to report that the log cannot be
                // written.
                let _ = out.write_all(&batch);
            }
        })?;
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
        if let Err(TrySendError::Full(_)) = self.queue.try_send(line) {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
            TOTAL_DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc::Receiver;
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
        let (began, began_rx) = channel();
        let (release, release_rx) = channel();
        let (written, written_rx) = channel();
        let out = BlockedOutput {
            began,
            release: release_rx,
            written,
        };
        let writer = BoundedWriter::start(write_plain, out).expect("the writing thread starts");
        log_line(&writer);
        began_rx.recv().expect("the output is written to");
        for _ in 0..MAX_QUEUED_LINES + 100 {
            log_line(&writer);
        }
        let dropped = dropped_line_count();
        assert_eq!(dropped, 100);
        release.send(()).expect("the output is blocked");
        let first = written_rx.recv().expect("the first line is written");
        assert_eq!(first, b"line\n");
    }
}
