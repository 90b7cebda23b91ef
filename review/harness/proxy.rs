//! Link to a process that can be cut: new connections are refused or left without an
//! answer, and open ones carry nothing more or are closed.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Proxy {
    from: SocketAddr,
    to: SocketAddr,
    is_open: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Proxy {
    pub fn start(from: SocketAddr, to: SocketAddr) -> io::Result<Arc<Proxy>> {
        let listener = TcpListener::bind(from)?;
        let proxy = Arc::new(Proxy {
            from,
            to,
            is_open: AtomicBool::new(true),
            streams: Mutex::default(),
        });
        Arc::clone(&proxy).accept(listener);
        Ok(proxy)
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            while self.is_open.load(Ordering::Acquire) {
                match listener.accept() {
                    Ok((client, _)) => {
                        let _ = client.set_nonblocking(false);
                        let proxy = Arc::clone(&self);
                        thread::spawn(move || proxy.relay(client));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    fn relay(&self, client: TcpStream) {
        let Ok(server) = TcpStream::connect_timeout(&self.to, Duration::from_millis(300)) else {
            let _ = client.shutdown(Shutdown::Both);
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (Ok(a), Ok(b)) = (client.try_clone(), server.try_clone()) else { return };
        self.streams.lock().unwrap().extend([a, b]);
        let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else { return };
        thread::spawn(move || copy(from, to));
        copy(server, client);
    }

    /// Cuts the link: new connections are refused, open ones are closed.
    pub fn refuse(&self) {
        self.is_open.store(false, Ordering::Release);
        thread::sleep(Duration::from_millis(20));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// The link works again.
    pub fn heal(self: &Arc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.from)?;
        self.is_open.store(true, Ordering::Release);
        Arc::clone(self).accept(listener);
        Ok(())
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buf = [0; 16 * 1024];
    loop {
        match from.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(n) => {
                if to.write_all(&buf[..n]).is_err() {
                    break;
                }
            }
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
