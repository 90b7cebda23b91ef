//! TCP proxy whose link can be cut, held up or reset.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Everything passes.
    Pass,
    /// Nothing passes, and what is sent meanwhile waits.
    Hold,
    /// Open connections are closed, and new ones as soon as they are accepted.
    Close,
}

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

struct State {
    mode: Mode,
    open: Vec<TcpStream>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let proxy = Self {
            address: listener.local_addr().expect("bound"),
            state: Arc::new(Mutex::new(State { mode: Mode::Pass, open: Vec::new() })),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.mode() == Mode::Close {
                    continue;
                }
                let Ok(upstream) = TcpStream::connect(target) else { continue };
                let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
                let (Ok(a), Ok(b)) = (stream.try_clone(), upstream.try_clone()) else { continue };
                {
                    let mut state = accepting.state.lock().expect("not poisoned");
                    state.open.extend([stream.try_clone(), upstream.try_clone()].into_iter().flatten());
                }
                let (first, second) = (accepting.clone(), accepting.clone());
                thread::spawn(move || first.copy(stream, upstream));
                thread::spawn(move || second.copy(b, a));
            }
        });
        proxy
    }

    fn mode(&self) -> Mode {
        self.state.lock().expect("not poisoned").mode
    }

    pub fn set(&self, mode: Mode) {
        let mut state = self.state.lock().expect("not poisoned");
        state.mode = mode;
        if mode == Mode::Close {
            for stream in state.open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = [0; 16_384];
        while let Ok(count) = from.read(&mut chunk) {
            while self.mode() == Mode::Hold {
                thread::sleep(Duration::from_millis(5));
            }
            if count == 0 || to.write_all(&chunk[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}
