//! Starts, signals and kills a role of teaseldrum as a process of its own.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use serde_json::Value;

/// A process of one role, which is killed when this is dropped.
#[derive(Debug)]
pub struct RoleProcess {
    program: PathBuf,
    role: String,
    settings: PathBuf,
    log: PathBuf,
    /// Number of times that the process was started.
    pub start_count: u32,
    child: Option<Child>,
}

impl RoleProcess {
    /// Writes the settings of a process in `role` to `NAME.json` in the folder, without
    /// starting it. Its output is appended to `NAME.log` there.
    pub fn prepare(
        program: &Path,
        folder: &Path,
        role: &str,
        name: &str,
        settings: &Value,
    ) -> io::Result<Self> {
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, settings.to_string())?;
        Ok(Self {
            program: program.into(),
            role: role.into(),
            settings: file,
            log: folder.join(format!("{name}.log")),
            start_count: 0,
            child: None,
        })
    }

    /// Starts the process unless it runs.
    pub fn start(&mut self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.program)
            .arg(&self.role)
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

    /// Returns the id of the running process.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the most memory that the running process has had, in kilobytes.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().strip_suffix(" kB")?.parse().ok()
    }

    /// Returns what the process and those before it have written.
    ///
    /// # Errors
    ///
    /// The file cannot be read.
    pub fn read_log(&self) -> io::Result<String> {
        fs::read_to_string(&self.log)
    }

    /// Tells whether the process runs.
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

    /// Kills the process and waits for its end. Does nothing if none runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by name, such as `TERM`. Does nothing if no process runs.
    pub fn signal(&mut self, name: &str) -> io::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let line = format!("kill -{name} {}", child.id());
        Command::new("sh").arg("-c").arg(line).status().map(drop)
    }
}

impl Drop for RoleProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
