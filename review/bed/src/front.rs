//! Processes of the project, started with the command of its deploy file.

use std::fs;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Where a whole run keeps its files, and the addresses of its machines.
pub struct Bed {
    pub root: PathBuf,
    pub dir: PathBuf,
    pub store: SocketAddr,
    net: u8,
    ports: [u16; 4],
    pub terms: &'static str,
}

impl Bed {
    /// Finds a loopback network and ports that are free.
    pub fn new(root: &Path, store: SocketAddr) -> io::Result<Self> {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("snipeyoke-review-{pid}"));
        fs::create_dir_all(&dir)?;
        let net = 20 + (pid % 200) as u8;
        for attempt in 0..200_u16 {
            let first = 12_000 + (pid % 1_000) as u16 * 16 + attempt * 4;
            let ports = [first, first + 1, first + 2, first + 3];
            let hosts = [[127, 0, 0, 1], [127, net, 1, 1]];
            let addresses = ports
                .iter()
                .flat_map(|&p| hosts.map(|h| SocketAddr::from((h, p))));
            let free = addresses.into_iter().all(|a| TcpListener::bind(a).is_ok());
            if free {
                let terms = "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"stages\"]";
                return Ok(Self {
                    root: root.to_owned(),
                    dir,
                    store,
                    net,
                    ports,
                    terms,
                });
            }
        }
        Err(io::Error::other("no free ports"))
    }

    fn address(&self, machine: u8, port: usize) -> SocketAddr {
        SocketAddr::from(([127, self.net, machine, 1], self.ports[port]))
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        let _left = fs::remove_dir_all(&self.dir);
    }
}

/// A machine of the system and its process, while it runs.
pub struct Front {
    pub name: String,
    pub machine: u8,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    root: PathBuf,
    child: Option<Child>,
}

impl Front {
    /// Prepares a machine; `seeds` are machines that exist when it starts.
    pub fn new(bed: &Bed, machine: u8, zone: &str, seeds: &[u8]) -> io::Result<Self> {
        let name = format!("front-{zone}-{machine}");
        let seeds = seeds.iter().map(|&m| format!("\"{}\"", bed.address(m, 2)));
        let seeds: Vec<String> = seeds.collect();
        let text = format!(
            r#"{{"node":"{name}","domain":"{zone}","region":"tbilisi","listen":{{"callers":"{}","ready":"{}","peers":"{}","metrics":"{}"}},"seeds":[{}],"registry":"{}","processor":{{"share":0.19,"speed":1}},"grace_s":8,"notice_ms":2000,"change_ms":2000,"regions":{{"tbilisi-a":"tbilisi","tbilisi-b":"tbilisi","tbilisi-c":"tbilisi"}},"retries":{{"ratio":0.2,"window_s":10,"extra":58}},"terms":{},"log":"info"}}"#,
            bed.address(machine, 0),
            bed.address(machine, 1),
            bed.address(machine, 2),
            bed.address(machine, 3),
            seeds.join(","),
            bed.store,
            bed.terms,
        );
        let settings = bed.dir.join(format!("{name}.json"));
        fs::write(&settings, text)?;
        Ok(Self {
            callers: bed.address(machine, 0),
            ready: bed.address(machine, 1),
            log: bed.dir.join(format!("{name}.log")),
            program: bed.root.join("target/release/snipeyoke-front"),
            root: bed.root.clone(),
            settings,
            name,
            machine,
            child: None,
        })
    }

    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .current_dir(&self.root)
            .env_clear()
            .env("SNIPEYOKE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        if let Some(pid) = self.pid() {
            // SAFETY: the call has no memory effects, and the child has not been waited for.
            let _sent = unsafe { kill(pid as i32, 15) };
        }
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _status = child.wait();
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|c| !matches!(c.try_wait(), Ok(None)))
    }

    /// Asks for readiness, as the platform does.
    pub fn is_ready(&self) -> bool {
        is_ready(self.ready)
    }

    pub fn await_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(30));
        }
        false
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
        if let Ok(kept) = std::env::var("KEEP_LOGS") {
            let _kept = fs::copy(
                &self.log,
                Path::new(&kept).join(format!("{}.log", self.name)),
            );
        }
    }
}

pub fn is_ready(address: SocketAddr) -> bool {
    let limit = Duration::from_millis(500);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, limit) else {
        return false;
    };
    let _set = stream.set_read_timeout(Some(limit));
    let request =
        format!("GET /-/readiness HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let response = http::exchange(&mut stream, request.as_bytes());
    matches!(response, Ok(Some(response)) if response.status() == 200)
}
