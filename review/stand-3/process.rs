//! Processes of the project, started with the commands of the deploy file.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

#[allow(dead_code)]
pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Process of one role; ended when dropped.
pub struct RoleProcess {
    pub name: String,
    role: String,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl RoleProcess {
    /// Starts `teaseldrum ROLE --settings-from TEASELDRUM_NODE_FILE`.
    pub fn start(folder: &Path, role: &str, name: &str, settings: &str) -> Self {
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(role, &path, &log);
        Self { name: name.into(), role: role.into(), settings: path, log, child }
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the call takes no memory; the process was started here and not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills the process, if it still runs, and starts it again.
    pub fn restart(&mut self) {
        self.end();
        self.child = spawn(&self.role, &self.settings, &self.log);
    }

    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for RoleProcess {
    fn drop(&mut self) {
        self.end();
    }
}

fn spawn(role: &str, settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("the log can be written");
    let program = std::env::var("TEASELDRUM_PROGRAM").unwrap_or("target/release/teaseldrum".into());
    Command::new(program)
        .args([role, "--settings-from", "TEASELDRUM_NODE_FILE"])
        .env("TEASELDRUM_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone().expect("the log can be shared"))
        .stdout(log)
        .spawn()
        .expect("the program of the deploy file is built")
}

/// Returns an address with a free port.
pub fn free_address(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a port is free");
    listener.local_addr().expect("bound")
}

/// Waits until `holds`, at most for `limit`; returns whether it does.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    holds()
}
