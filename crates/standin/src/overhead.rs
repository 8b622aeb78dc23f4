//! Measures what one vm adds to a direct call of its target.

mod drive;

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use jujubebeam_core::VmId;
use jujubebeam_core::settings::KeyHash;
use jujubebeam_engine::paths;
use jujubebeam_vmlist::{ListedState, ListedVm, VmList};
use pico_args::Arguments;

use crate::up::example::KEY;
use crate::up::processes::Processes;
use crate::up::{wait_until, write_settings};
use drive::{Call, Drive, Measured};

/// Connections of the closed loop; enough to keep one worker busy.
const CONNECTIONS: usize = 32;
const ECHO_PATH: &str = "/echo/stock";
/// Targets of each kind, under as many loopback addresses of the one echo process. A single target
/// has room for fewer requests than a vm can carry, and the rest would wait in the scheduler.
const TARGETS: u8 = 8;
const MODEL: &str = "echo";
/// A ready vm reads the target's first load report within half a second.
const WARM_UP: Duration = Duration::from_secs(2);

/// Runs `overhead --seed N [--seconds N] [--rate N]` and prints a table. Without a rate, half of the
/// measured capacity is offered.
pub(crate) fn run(mut args: Arguments) -> Result<(), String> {
    let option = |args: &mut Arguments, name| {
        let value: Result<Option<u64>, _> = args.opt_value_from_str(name);
        value.map_err(|e| e.to_string())
    };
    let seed = option(&mut args, "--seed")?.unwrap_or(1);
    let seconds = option(&mut args, "--seconds")?.unwrap_or(5);
    let rate = option(&mut args, "--rate")?.map(|rate| rate as f64);
    let mut processes = Processes::default();
    let result = measure(&mut processes, seed, rate, Duration::from_secs(seconds));
    processes.stop();
    print!("{}", result?);
    Ok(())
}

/// Addresses of the four processes.
struct Layout {
    platform: SocketAddr,
    echo: SocketAddr,
    caller: SocketAddr,
    peer: SocketAddr,
}

impl Layout {
    fn new() -> Result<Self, String> {
        let mut held = Vec::new();
        let mut address = || {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            let address = listener.local_addr()?;
            held.push(listener);
            Ok(address)
        };
        let mut next = || address().map_err(|e: std::io::Error| e.to_string());
        Ok(Self {
            platform: next()?,
            echo: next()?,
            caller: next()?,
            peer: next()?,
        })
    }

    fn vm_list(&self) -> VmList {
        VmList {
            vms: vec![ListedVm {
                vm: VmId(1),
                zone: "brest".into(),
                caller_address: self.caller.to_string(),
                peer_address: self.peer.to_string(),
                state: ListedState::Live,
            }],
        }
    }

    fn process_settings(&self) -> String {
        let Self {
            platform,
            caller,
            peer,
            ..
        } = self;
        format!(
            "vm: 1\nzone: brest\ncaller_address: {caller}\npeer_address: {peer}\nworkers: 1\n\
             platform: {{store: \"{platform}\", vm_list: \"{platform}\", \
             ordering: \"{platform}\", usage: \"{platform}\", weights: \"{platform}\"}}\n"
        )
    }

    fn group(&self, name: &str, kind: &str) -> String {
        let mut text = format!("  - name: {name}\n    kind: {kind}\n    targets:\n");
        for i in 1..=TARGETS {
            let address = SocketAddr::from(([127, 0, 0, i], self.echo.port()));
            text.push_str(&format!(
                "      - {{name: {name}-{i}, address: \"{address}\", zone: brest}}\n"
            ));
        }
        text
    }

    fn settings(&self) -> Vec<(String, String)> {
        let fleet = format!(
            "zones: [brest]\nroutes:\n  - {{name: echo, kind: service, path_prefix: /echo, \
             group: echo}}\n  - {{name: chat, kind: engine, path_prefix: {}, models: [{MODEL}], \
             group: engines}}\ngroups:\n{}{}",
            paths::CHAT,
            self.group("echo", "service"),
            self.group("engines", "engine")
        );
        let team = format!(
            "workspaces:\n  - name: kits-north\n    keys:\n      \
             - {{name: first, sha256: {}}}\n",
            KeyHash::of_key(KEY).to_hex()
        );
        let team_key = format!("{}north", jujubebeam_operator::TEAMS_PREFIX);
        vec![
            (jujubebeam_operator::FLEET_KEY.into(), fleet),
            (team_key, team),
        ]
    }
}

fn measure(
    processes: &mut Processes,
    seed: u64,
    rate: Option<f64>,
    time: Duration,
) -> Result<String, String> {
    let layout = Layout::new()?;
    let vm_process = start(processes, &layout)?;
    bring_up(&layout)?;
    let chat = format!(
        r#"{{"model":"{MODEL}","max_tokens":1,"messages":[{{"role":"user","content":"fit?"}}]}}"#
    );
    let mut text = String::new();
    for (kind, path, body) in [
        ("plain service", ECHO_PATH, None),
        ("short chat", paths::CHAT, Some(chat)),
    ] {
        let call = |address: SocketAddr| Call {
            url: format!("http://{address}{path}"),
            body: body.clone(),
        };
        let both = [call(layout.echo), call(layout.caller)];
        text.push_str(&measure_kind(kind, both, vm_process, seed, rate, time)?);
    }
    Ok(text)
}

/// Measures the capacity of the vm, and then times at half of it by both paths at once.
fn measure_kind(
    kind: &str,
    [direct, vm]: [Call; 2],
    vm_process: u32,
    seed: u64,
    rate: Option<f64>,
    time: Duration,
) -> Result<String, String> {
    drive::closed(&vm, CONNECTIONS, WARM_UP);
    let cpu_before = cpu_seconds(vm_process)?;
    let full = drive::closed(&vm, CONNECTIONS, time);
    let cpu = cpu_seconds(vm_process)? - cpu_before;
    let rate = rate.unwrap_or(full.per_s() / 2.0);
    let cpu_before = cpu_seconds(vm_process)?;
    let wait_before = cpu_wait_seconds(vm_process)?;
    let measured = drive::open(&Drive {
        paths: vec![direct, vm],
        rate,
        time,
        seed,
    });
    let [by_itself, by_vm] = measured.as_slice() else {
        return Err("a path was not measured".into());
    };
    let elapsed = by_vm.elapsed.as_secs_f64();
    let used = (cpu_seconds(vm_process)? - cpu_before) / elapsed;
    let waited = (cpu_wait_seconds(vm_process)? - wait_before) / elapsed;
    let table = table(&full, cpu, rate, by_vm, by_itself);
    Ok(format!(
        "{kind}: {table}meanwhile the vm used {used:.2} cores and waited for {waited:.2}\n"
    ))
}

fn start(processes: &mut Processes, layout: &Layout) -> Result<u32, String> {
    let directory = processes.create_directory()?;
    let vms = directory.join("vms.json");
    let list = serde_json::to_vec(&layout.vm_list()).map_err(|e| e.to_string())?;
    fs::write(&vms, list).map_err(|e| e.to_string())?;
    let config = directory.join("vm-1.yaml");
    fs::write(&config, layout.process_settings()).map_err(|e| e.to_string())?;
    let platform = layout.platform.to_string();
    let echo = SocketAddr::from((Ipv4Addr::UNSPECIFIED, layout.echo.port())).to_string();
    let vms = vms.to_string_lossy();
    processes.start(&["platform", "--address", &platform, "--vms", &vms])?;
    processes.start(&["echo", "--address", &echo])?;
    processes.start(&["vm", "run", "--config", &config.to_string_lossy()])
}

fn bring_up(layout: &Layout) -> Result<(), String> {
    let (platform, caller) = (layout.platform, layout.caller);
    let settings = layout.settings();
    let system = ntex::rt::System::build()
        .name("overhead")
        .build(ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let client = jujubebeam_http::build_client(Default::default()).await;
        wait_until(&client, platform, "/vms").await?;
        write_settings(&client, platform, settings).await?;
        wait_until(&client, caller, "/readyz").await
    })
}

/// CPU time of a process so far, from `/proc`.
fn cpu_seconds(process: u32) -> Result<f64, String> {
    /// Linux reports times to user space in units of 1/100 s.
    const TICKS_PER_S: f64 = 100.0;
    let path = format!("/proc/{process}/stat");
    let text = fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    // The second field is the program's name in parentheses and may contain spaces.
    let fields = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let ticks = fields.split(' ').skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|t| t.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS_PER_S)
}

/// Time for which the threads of a process were ready to run but had no core. On a machine that
/// others use, it tells how much of the vm's time is not its own.
fn cpu_wait_seconds(process: u32) -> Result<f64, String> {
    let path = format!("/proc/{process}/task");
    let threads = fs::read_dir(&path).map_err(|e| format!("{path}: {e}"))?;
    let mut waited_ns = 0;
    for thread in threads.flatten() {
        let text = fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        let field = text.split_whitespace().nth(1);
        waited_ns += field
            .and_then(|f| f.parse::<u64>().ok())
            .unwrap_or_default();
    }
    Ok(Duration::from_nanos(waited_ns).as_secs_f64())
}

fn table(full: &Measured, cpu: f64, rate: f64, vm: &Measured, direct: &Measured) -> String {
    let quantiles = |m: &Measured| (m.times.quantile_ms(0.5), m.times.quantile_ms(0.99));
    let ((vm50, vm99), (direct50, direct99)) = (quantiles(vm), quantiles(direct));
    let mut text = format!(
        "full load, one worker, {CONNECTIONS} connections: {:.0} requests/s, {:.2} cores used, \
         {:.0} requests/s per core, {} errors\n",
        full.per_s(),
        cpu / full.elapsed.as_secs_f64(),
        full.times.count() as f64 / cpu.max(0.01),
        full.errors
    );
    text.push_str(&format!("{rate:.0} requests/s offered to each path:\n"));
    text.push_str(&format!(
        "{:<12}{:>10}{:>10}{:>10}{:>8}\n",
        "path", "count", "p50 ms", "p99 ms", "errors"
    ));
    for (name, measured) in [("direct", direct), ("through vm", vm)] {
        let (p50, p99) = quantiles(measured);
        let (count, errors) = (measured.times.count(), measured.errors);
        text.push_str(&format!(
            "{name:<12}{count:>10}{p50:>10.3}{p99:>10.3}{errors:>8}\n"
        ));
    }
    for error in [full, vm, direct]
        .iter()
        .filter_map(|m| m.first_error.as_ref())
    {
        text.push_str(&format!("first error: {error}\n"));
    }
    let (add50, add99) = (vm50 - direct50, vm99 - direct99);
    text.push_str(&format!(
        "{:<12}{:>10}{add50:>10.3}{add99:>10.3}\n",
        "added", ""
    ));
    text
}
