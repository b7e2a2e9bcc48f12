//! A small deployment of real processes, to be killed and paused.

use std::io;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;
use serde_json::json;

use crate::scene::free_port;

/// One process, with what it takes to start it again.
#[derive(Debug)]
pub struct Process {
    program: PathBuf,
    args: Vec<String>,
    child: Option<Child>,
    /// How it ended when nobody had killed it.
    ended: Vec<ExitStatus>,
    /// Whether it stands still.
    pub paused: bool,
}

impl Process {
    fn new(program: PathBuf, args: Vec<String>) -> Self {
        Self {
            program,
            args,
            child: None,
            ended: Vec::new(),
            paused: false,
        }
    }

    /// Starts the process, unless it runs.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn start(&mut self) -> io::Result<()> {
        self.look()?;
        if self.child.is_some() {
            return Ok(());
        }
        let child = Command::new(&self.program)
            .args(&self.args)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        self.paused = false;
        Ok(())
    }

    /// Kills the process outright and collects it.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn kill(&mut self) -> io::Result<()> {
        self.look()?;
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            let status = child.wait()?;
            if status.signal() != Some(Signal::KILL.as_raw()) {
                self.ended.push(status);
            }
        }
        Ok(())
    }

    /// Notes an end that nobody brought about.
    fn look(&mut self) -> io::Result<()> {
        if let Some(child) = &mut self.child
            && let Some(status) = child.try_wait()?
        {
            self.ended.push(status);
            self.child = None;
        }
        Ok(())
    }

    /// Lets the process stand still or go on.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn pause(&mut self, paused: bool) -> io::Result<()> {
        self.look()?;
        let signal = if paused { Signal::STOP } else { Signal::CONT };
        if let Some(child) = &self.child {
            kill_process(Pid::from_child(child), signal)?;
            self.paused = paused;
        }
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            eprintln!("a process could not be ended: {error}");
        }
    }
}

/// The size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Routers.
    pub routers: usize,
    /// Agents, each beside a service of its own.
    pub agents: usize,
    /// The term of the leases, in seconds.
    pub lease: u64,
}

/// The processes of a deployment.
#[derive(Debug)]
pub struct Fleet {
    /// The routers.
    pub routers: Vec<Process>,
    /// The agents.
    pub agents: Vec<Process>,
    /// The routers' addresses for callers.
    pub doors: Vec<SocketAddr>,
    /// The services' addresses.
    pub services: Vec<SocketAddr>,
    /// The platform's address.
    pub platform: SocketAddr,
    outside: Vec<Process>,
    folder: PathBuf,
}

impl Fleet {
    /// Writes the settings and starts the platform and the services.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn start(size: Size) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("snipeyoke-chaos-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let platform = free_port()?;
        let mut fleet = Self {
            routers: Vec::new(),
            agents: Vec::new(),
            doors: Vec::new(),
            services: Vec::new(),
            platform,
            outside: Vec::new(),
            folder,
        };
        let settings = json!({"kind": "platform", "listen": platform, "append_ms": 4});
        fleet.run_outside("platform", "platform", &settings)?;
        let mut agents = Vec::new();
        for index in 0..size.agents {
            agents.push(fleet.agent(index, size.lease)?);
        }
        for index in 0..size.routers {
            fleet.router(index, &agents)?;
        }
        Ok(fleet)
    }

    /// Starts every agent and router that does not run, and wakes the paused.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn heal(&mut self) -> io::Result<()> {
        for process in self.agents.iter_mut().chain(&mut self.routers) {
            process.pause(false)?;
            process.start()?;
        }
        Ok(())
    }

    /// Returns how agents and routers ended that nobody had killed.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn ends(&mut self) -> io::Result<Vec<ExitStatus>> {
        let mut ends = Vec::new();
        for process in self.agents.iter_mut().chain(&mut self.routers) {
            process.look()?;
            ends.extend(&process.ended);
        }
        Ok(ends)
    }

    fn write(&self, name: &str, settings: &Value) -> io::Result<String> {
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        Ok(path.to_string_lossy().into_owned())
    }

    fn run_outside(&mut self, kind: &str, name: &str, settings: &Value) -> io::Result<()> {
        let path = self.write(name, settings)?;
        let args = vec![kind.to_owned(), "--settings".to_owned(), path];
        let mut process = Process::new(program("snipeyoke-standin")?, args);
        process.start()?;
        self.outside.push(process);
        Ok(())
    }

    fn agent(&mut self, index: usize, lease: u64) -> io::Result<SocketAddr> {
        let (listen, service) = (free_port()?, free_port()?);
        let plain = json!({"kind": "plain", "listen": service, "service_ms": 15.0, "seed": index});
        self.run_outside("plain", &format!("service-{index}"), &plain)?;
        self.services.push(service);
        let settings = json!({
            "node": format!("agent-{index}"), "host": format!("host-{index}"),
            "domain": format!("domain-{}", index % 3), "region": "test", "listen": listen,
            "endpoint": {"id": format!("desk-{index}"), "pool": "desk", "address": service,
                         "kind": "plain", "slots": 8, "queue": 64},
            "platform": self.platform, "lease_s": lease, "log": "warn",
        });
        let path = self.write(&format!("agent-{index}"), &settings)?;
        let process = Process::new(program("snipeyoke-agent")?, vec![path]);
        self.agents.push(process);
        Ok(listen)
    }

    fn router(&mut self, index: usize, agents: &[SocketAddr]) -> io::Result<()> {
        let door = free_port()?;
        let settings = json!({
            "node": format!("router-{index}"), "host": format!("entry-{index}"),
            "domain": format!("domain-{}", index % 3), "region": "test",
            "listen": {"callers": door, "control": free_port()?, "peers": free_port()?},
            "agents": agents, "platform": self.platform, "log": "warn",
        });
        let path = self.write(&format!("router-{index}"), &settings)?;
        let process = Process::new(program("snipeyoke-router")?, vec![path]);
        self.routers.push(process);
        self.doors.push(door);
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            eprintln!("{}: {error}", self.folder.display());
        }
    }
}

/// Returns the path of a program that was built beside this one.
fn program(name: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let path = own.parent().unwrap_or(Path::new(".")).join(name);
    if path.exists() {
        return Ok(path);
    }
    let text = format!("{} is missing: build the workspace", path.display());
    Err(io::Error::new(io::ErrorKind::NotFound, text))
}
