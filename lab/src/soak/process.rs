//! Gateways as processes of their own.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use serde_json::Value;

/// A gateway in a process of its own; killed when dropped.
#[derive(Debug)]
pub struct GatewayProcess {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// Starts so far.
    pub start_count: u32,
    child: Option<Child>,
}

impl GatewayProcess {
    /// Prepares a gateway; its log is kept beside its settings.
    pub fn prepare(
        program: &Path,
        folder: &Path,
        name: &str,
        settings: &Value,
    ) -> io::Result<Self> {
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, settings.to_string())?;
        Ok(Self {
            program: program.into(),
            settings: file,
            log: folder.join(format!("{name}.log")),
            start_count: 0,
            child: None,
        })
    }

    /// Starts it unless it runs.
    pub fn start(&mut self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("gateway")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.start_count += 1;
        Ok(())
    }

    /// Tells whether it runs; one that has ended is forgotten.
    pub fn is_running(&mut self) -> bool {
        let is_running = match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        };
        if !is_running {
            self.child = None;
        }
        is_running
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends it a signal by name, such as `TERM`.
    pub fn signal(&mut self, name: &str) -> io::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let line = format!("kill -{name} {}", child.id());
        Command::new("sh").arg("-c").arg(line).status().map(drop)
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
