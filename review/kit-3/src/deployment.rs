//! A small deployment on loopback: the store, a manifest, workers, and gateways started as the deploy file says.

use std::fs::{self, File};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, ask};
use crate::store::Store;
use crate::system::{Process, free_address};

pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const HOST: &str = "ficu95.example";

pub struct Deployment {
    pub store: Store,
    pub folder: PathBuf,
    record: File,
    began: Instant,
    pub trouble: bool,
    /// The memory that a gateway may take, in megabytes.
    pub memory_mb: u32,
    /// Whether the gateways' output is kept.
    pub keeps_log: bool,
}

pub struct Gateway {
    pub process: Process,
    pub front: SocketAddr,
    ready: SocketAddr,
    config: PathBuf,
    log: PathBuf,
}

impl Gateway {
    /// Returns the memory that the process takes, in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Asks for readiness as the platform does.
    pub fn is_ready(&self) -> bool {
        let request = "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        ask(self.ready, request, None, Duration::from_secs(1)).status == 200
    }
}

pub struct WorkerPlace {
    pub id: String,
    pub service: String,
    zone: String,
    /// Its group and its rank there, in groups of two; plain workers have none.
    pub group: Option<(&'static str, usize)>,
    /// Whether its group stalls.
    pub stalls: bool,
    pub address: SocketAddr,
    pub process: Option<Process>,
    seq: u64,
    born: u64,
}

pub fn wall_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

/// A route of the manifest.
pub struct RouteText<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub objective_ms: u64,
    pub attempts: u32,
    pub more: &'a str,
}

impl Deployment {
    pub fn new(record: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("review-kit-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            store: Store::start(),
            folder,
            record: File::create(record).expect("the record"),
            began: Instant::now(),
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            memory_mb: 260,
            keeps_log: true,
        }
    }

    /// Writes a line to the record.
    pub fn note(&mut self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.began.elapsed().as_secs_f64());
        println!("{line}");
        let _ = writeln!(self.record, "{line}");
    }

    /// Writes the manifest, and waits for nothing.
    pub fn put_manifest(&mut self, version: u64, routes: &[RouteText], services: &[&str]) {
        let routes: Vec<String> = routes
            .iter()
            .map(|route| {
                format!(
                    r#"{{"name":"r{}","host":"{HOST}","path-prefix":"{}","kind":"{}","timeout-ms":{},"target-latency-ms":{},"priority":1,"service":"{}","max-attempts":{},"public":false{}}}"#,
                    route.prefix.replace('/', "-"), route.prefix, route.kind, route.timeout_ms,
                    route.objective_ms, route.service, route.attempts, route.more
                )
            })
            .collect();
        let services: Vec<String> = services
            .iter()
            .map(|name| {
                format!(r#"{{"name":"{name}","health-path":"/health","max-connections":110,"protocol":"h1","tls":false}}"#)
            })
            .collect();
        let manifest = format!(
            r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"hule930","api-keys":["{KEY}"],"priority":1}}]}}"#,
            routes.join(","),
            services.join(",")
        );
        self.store.put("config", "main", manifest.as_bytes());
    }

    /// Starts a gateway with the command of the deploy file, and waits until it is ready.
    pub fn start_gateway(&mut self, name: &str) -> Gateway {
        let (front, ready, control, internal) = (
            free_address(),
            free_address(),
            free_address(),
            free_address(),
        );
        let store = self.store.address;
        let last = internal.port().saturating_add(15);
        let config = format!(
            r#"{{"node":"{name}","role":"gateway","machine-class":"front","serves":["front"],"ip":"127.0.0.1","zone":"bergen-a","region":"vestland","zones":{{"bergen-a":"vestland","bergen-b":"vestland","forde":"vestland"}},"listen":{{"front":"{front}","ready":"{ready}","control":"{control}"}},"internal-ports":[{},{last}],"seeds":[],"bootstrap":true,"in-loss-budget":false,"limits":{{"cpu-share":0.25,"cores":1,"memory-mb":{},"max-fds":4100,"link-mbps":1000.0,"disk-mb":0}},"data-dir":null,"discovery":"platform","entry":"vip","heartbeat-ms":1200,"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"],"fault-tolerance":{{"machines":1,"zones":1,"regions":0}},"bounds":{{"seed-lag-s":3,"reuse-after-s":2,"stability-window-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,"grace-s":8,"loss-slack-ms":200,"config-apply-ms":2000,"rollback-slack-ms":250,"max-stretch-ms":5000,"strict-revoke":false,"revoke-ms":5000,"retry-budget-ratio":0.2,"budget-window-s":10,"retry-budget-slack":92,"recover-s":12,"pass_ms":120,"again_s":0,"stall_ms":1500,"require-fence":true}},"platform":{{"address":"{store}","form":"objects","writes_per_s":400,"reads_per_s":2000,"history-s":20,"value_bytes":1048576,"ttl_min_ms":1000}}}}"#,
            internal.port(),
            self.memory_mb
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, config).expect("the settings file");
        let log = self.folder.join(format!("{name}.log"));
        let mut gateway = Gateway {
            process: spawn_gateway(&path, self.keeps_log.then_some(&log)),
            front,
            ready,
            config: path,
            log,
        };
        self.wait_ready(&mut gateway);
        gateway
    }

    /// Starts a gateway again that has ended, with the same settings, and waits for nothing.
    pub fn restart_gateway(&mut self, gateway: &mut Gateway) {
        gateway.process = spawn_gateway(&gateway.config, self.keeps_log.then_some(&gateway.log));
        self.note("the gateway's process started again");
    }

    fn wait_ready(&mut self, gateway: &mut Gateway) {
        let by = Instant::now() + Duration::from_secs(15);
        while Instant::now() < by {
            if gateway.is_ready() {
                self.note("the gateway is ready");
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        self.cannot_run("the gateway was not ready in time");
    }

    /// Ends the case: it could not be run.
    pub fn cannot_run(&mut self, why: &str) -> ! {
        self.note(&format!("cannot run: {why}"));
        // Unwinds, so that all processes are ended.
        std::panic::resume_unwind(Box::new(why.to_owned()));
    }

    pub fn place_worker(&mut self, id: &str, service: &str, zone: &str) -> WorkerPlace {
        WorkerPlace {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            group: None,
            stalls: false,
            address: free_address(),
            process: None,
            seq: 0,
            born: 0,
        }
    }

    /// Starts a lifetime of a worker; once it listens, its entry is written, as the worker itself would.
    pub fn start_worker(&mut self, place: &mut WorkerPlace) {
        let born = wall_ms();
        let log = self.folder.join("runs");
        let own = std::env::current_exe().expect("the own program");
        let mut command = Command::new(own);
        command
            .args([
                "worker",
                &place.address.to_string(),
                &place.id,
                &born.to_string(),
            ])
            .arg(log)
            .stdin(Stdio::null());
        if place.stalls {
            command.env("STALLS", "1");
        }
        place.process = Some(Process::start(command));
        let by = Instant::now() + Duration::from_secs(5);
        while crate::http::open(place.address).is_err() && Instant::now() < by {
            std::thread::sleep(Duration::from_millis(5));
        }
        place.seq += 1;
        place.born = born;
        let entry = entry_of(place, "ready");
        self.store.put("servers", &place.id, entry.as_bytes());
        self.note(&format!("worker {} started, born {born}", place.id));
    }

    /// Reports for a worker, as it does itself every `heartbeat-ms`. A report that changes nothing leaves the entry as it is.
    pub fn report(&self, place: &WorkerPlace) {
        let entry = entry_of(place, "ready");
        self.store
            .put_if_changed("servers", &place.id, entry.as_bytes());
    }
}

fn entry_of(place: &WorkerPlace, state: &str) -> String {
    let born = match place.born {
        0 => String::new(),
        born => format!(r#","born":{born}"#),
    };
    let group = place.group.map(|(name, rank)| {
        format!(r#","group":{{"name":"{name}","epoch":1,"rank":{rank},"state":"open"}},"size":2"#)
    });
    let group = group.unwrap_or_default();
    format!(
        r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":12,"state":"{state}","cold-remaining-ms":0,"seq":{}{born}{group}}}"#,
        place.service, place.address, place.zone, place.seq
    )
}

impl Deployment {
    /// Returns what the workers have written down.
    pub fn runs(&self) -> String {
        fs::read_to_string(self.folder.join("runs")).unwrap_or_default()
    }

    /// Copies what the workers ran into the record, and what the gateways logged of the answers.
    pub fn close(&mut self) {
        for line in self.runs().lines() {
            let line = format!("worker: {line}");
            self.note(&line);
        }
        let logs = fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let logs: Vec<PathBuf> = logs.map(|entry| entry.path()).collect();
        for log in logs
            .iter()
            .filter(|path| path.extension().is_some_and(|end| end == "log"))
        {
            let text = fs::read_to_string(log).unwrap_or_default();
            let events = [
                "process_asked",
                "\"answered\"",
                "given_up",
                "paused",
                "upstream_gone",
                "store_restored",
                "store_era",
                "configuration",
                "not_retried",
                "caller_left",
                "\"cut\"",
                "broke_off",
                "store_lost",
                "store_back",
                "object_unreadable",
                "\"started\"",
            ];
            for line in text
                .lines()
                .filter(|line| events.iter().any(|event| line.contains(event)))
            {
                let line = format!("gateway: {line}");
                self.note(&line);
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn spawn_gateway(config: &Path, log: Option<&PathBuf>) -> Process {
    let log = log.map(|log| {
        fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log")
    });
    let mut command = Command::new("target/release/sardinepin");
    command
        .arg("gateway")
        .env("SARDINEPIN_CONFIG", config)
        .stdin(Stdio::null())
        .stdout(log.map_or_else(Stdio::null, Stdio::from))
        .stderr(Stdio::null());
    Process::start(command)
}

/// Returns a request of a client.
pub fn request(method: &str, target: &str, attempt: &str, deadline_ms: u64, more: &str) -> String {
    let length = match method {
        "GET" => "",
        _ => "Content-Length: 0\r\n",
    };
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Token {KEY}\r\n{length}{more}\r\n"
    )
}

/// Describes an answer for the record.
pub fn describe(answer: &Answer) -> String {
    let signed = crate::http::field(&answer.fields, "x-response-signature").is_some();
    let tail = String::from_utf8_lossy(&answer.body[answer.body.len().saturating_sub(20)..])
        .replace('\n', "\\n");
    format!(
        "status {}, signed {signed}, {} bytes of body, end {:?}, last bytes \"{tail}\"",
        answer.status,
        answer.body.len(),
        answer.end
    )
}
