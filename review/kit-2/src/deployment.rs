//! A small deployment on loopback addresses: settings files and the project's own processes.

use std::fs::File;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// The program that `deploy/system.toml` runs.
const PROGRAM: &str = "target/release/sardinepin";

/// The ports of a deployment, the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub app: u16,
    pub store: u16,
    pub internal: u16,
}

/// The addresses and the folder of a deployment; dropping it removes the folder.
#[derive(Debug)]
pub struct Deployment {
    network: [u8; 2],
    pub ports: Ports,
    folder: PathBuf,
}

impl Deployment {
    /// Chooses a loopback network, free ports and a temporary folder.
    pub fn choose() -> io::Result<Self> {
        let time = SystemTime::now().duration_since(UNIX_EPOCH);
        let seed = time.unwrap_or_default().subsec_micros() ^ std::process::id();
        let network = [64 + (seed % 128) as u8, (seed / 128 % 250) as u8];
        let mut listeners = Vec::new();
        for _ in 0..5 {
            let address = IpAddr::from([127, network[0], network[1], 1]);
            listeners.push(TcpListener::bind((address, 0))?);
        }
        let ports = listeners.iter().map(TcpListener::local_addr);
        let ports: Result<Vec<u16>, _> = ports.map(|found| found.map(|one| one.port())).collect();
        let ports = ports?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self {
            network,
            ports: Ports {
                front: ports[0],
                ready: ports[1],
                app: ports[2],
                store: ports[3],
                internal: ports[4],
            },
            folder,
        })
    }

    /// Returns the address of a machine, by its number from 1.
    pub fn ip(&self, machine: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.network[0],
            self.network[1],
            machine,
        ))
    }

    pub fn address(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(machine), port)
    }

    /// The store stands on machine 250.
    pub fn store(&self) -> SocketAddr {
        self.address(250, self.ports.store)
    }

    pub fn front(&self, machine: u8) -> SocketAddr {
        self.address(machine, self.ports.front)
    }

    pub fn app(&self, machine: u8) -> SocketAddr {
        self.address(machine, self.ports.app)
    }

    fn settings(&self, machine: u8, class: &str, own: &str) -> String {
        let ip = self.ip(machine);
        let Ports { internal, .. } = self.ports;
        let store = self.store();
        format!(
            r#"{{"node":"{class}-bergen-a-{machine}","role":"{class}","machine-class":"{class}","serves":["{class}"],
"ip":"{ip}","zone":"bergen-a","region":"vestland","zones":{{"bergen-a":"vestland"}},{own},
"internal-ports":[{internal},{internal}],"seeds":[],"bootstrap":true,"in-loss-budget":false,
"limits":{{"cpu-share":0.25,"cores":1,"memory-mb":260,"max-fds":4100,"link-mbps":1000.0,"disk-mb":0}},
"data-dir":null,"discovery":"platform","entry":"vip","heartbeat-ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"],
"fault-tolerance":{{"machines":1,"zones":1,"regions":0}},
"bounds":{{"seed-lag-s":3,"reuse-after-s":2,"stability-window-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,
"grace-s":8,"loss-slack-ms":200,"config-apply-ms":2000,"rollback-slack-ms":250,"max-stretch-ms":5000,"strict-revoke":false,
"revoke-ms":5000,"retry-budget-ratio":0.2,"budget-window-s":10,"retry-budget-slack":92,"recover-s":12,"pass_ms":120,
"again_s":0,"stall_ms":1500,"require-fence":true}},
"platform":{{"address":"{store}","form":"objects","writes_per_s":400,"reads_per_s":2000,"history-s":20,
"value_bytes":1048576,"ttl_min_ms":1000}}}}"#
        )
    }

    /// Starts a gateway with the command of the deploy file.
    pub fn start_gateway(&self, machine: u8) -> io::Result<Process> {
        let (front, ready) = (self.front(machine), self.address(machine, self.ports.ready));
        let own = format!(r#""listen":{{"front":"{front}","ready":"{ready}"}}"#);
        self.start(machine, "gateway", &self.settings(machine, "front", &own))
    }

    /// Starts the agent beside a worker with the command of the deploy file.
    pub fn start_rank(&self, machine: u8, service: &str) -> io::Result<Process> {
        let app = self.app(machine);
        let own = format!(r#""listen":{{}},"app":"{app}","service":"{service}""#);
        self.start(machine, "rank", &self.settings(machine, "side", &own))
    }

    fn start(&self, machine: u8, role: &str, settings: &str) -> io::Result<Process> {
        let path = self.folder.join(format!("node-{machine}.json"));
        std::fs::write(&path, settings)?;
        let log = File::create(self.folder.join(format!("{role}-{machine}.log")))?;
        let child = Command::new(PROGRAM)
            .arg(role)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("SARDINEPIN_CONFIG", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        Ok(Process(child))
    }

    /// Waits until a gateway says that it is ready.
    pub fn wait_until_ready(&self, machine: u8) -> io::Result<()> {
        let address = self.address(machine, self.ports.ready);
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let asked = http::call(address, "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
            if asked.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the gateway does not become ready"))
    }

    /// Copies the lines of a process's log that name one of these events into a text.
    pub fn log_lines(&self, role: &str, machine: u8, events: &[&str]) -> Vec<String> {
        let log = self.folder.join(format!("{role}-{machine}.log"));
        let text = std::fs::read_to_string(log).unwrap_or_default();
        let is_wanted = |line: &&str| {
            events
                .iter()
                .any(|event| line.contains(&format!("\"event\":\"{event}\"")))
        };
        text.lines().filter(is_wanted).map(str::to_owned).collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            // What is left of a temporary folder does no harm.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A process of the project; dropping it kills it.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    pub fn signal(&self, signal: i32) {
        let id = i32::try_from(self.0.id()).unwrap_or(0);
        if id > 0 {
            // SAFETY: `kill` takes two numbers; the process is a child that has not been waited for.
            unsafe { kill(id, signal) };
        }
    }

    /// Kills the process and waits until it is gone.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns whether the program has been built.
pub fn is_built() -> bool {
    Path::new(PROGRAM).exists()
}
