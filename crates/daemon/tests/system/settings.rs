//! Starts with invalid settings or unusable files.

use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use greengage_transport::keys::create_authority;

use crate::harness::{save_keys, TestCluster};
use crate::THREE_VMS;

/// Limit within which a VM with invalid settings exits.
const EXIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a command that must exit with code 2 and one line of error output that contains all
/// `parts`. Returns a description of the mismatch, or `None`. A VM that starts anyway is killed.
fn expect_refused(mut command: Command, description: &str, parts: &[&str]) -> Option<String> {
    command.stdout(Stdio::null()).stderr(Stdio::piped());
    let mut process = command.spawn().expect("the daemon runs");
    let deadline = Instant::now() + EXIT_TIMEOUT;
    while process.try_wait().expect("a status").is_none() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(5));
    }
    // Fails if the process has exited.
    let _ = process.kill();
    let output = process.wait_with_output().expect("the output");
    let text = String::from_utf8_lossy(&output.stderr);
    let has_parts = parts.iter().all(|part| text.contains(part));
    let is_refused = output.status.code() == Some(2) && text.lines().count() == 1 && has_parts;
    (!is_refused).then(|| {
        format!(
            "{description}: {}; expected code 2 and one line with {parts:?}, got:\n{text}",
            output.status
        )
    })
}

fn largest_segment(data: &Path) -> PathBuf {
    let files = std::fs::read_dir(data).expect("a data folder");
    let files = files.map(|file| file.expect("a file").path());
    let size = |path: &PathBuf| path.metadata().map_or(0, |m| m.len());
    files.max_by_key(size).expect("a segment")
}

/// Guards against a VM that starts with invalid settings or damaged files, or whose error doesn't
/// name the setting or file, the problem and the remedy.
#[test]
fn invalid_starts_are_refused_in_one_line() {
    let mut cluster = TestCluster::prepare(&THREE_VMS, false);
    let mut failures = Vec::new();
    for (name, _, _) in THREE_VMS {
        cluster.init(name);
    }
    {
        let vm = cluster.vm("north-1");
        let (http, admin, peer) = (vm.http, vm.admin, vm.peer);
        let blocker = TcpListener::bind(http).expect("a free address");
        let text = http.to_string();
        failures.extend(expect_refused(
            cluster.command("north-1"),
            "HTTP in use",
            &["--http", &text, "in use"],
        ));
        drop(blocker);
        let blocker = TcpListener::bind(admin).expect("a free address");
        let text = admin.to_string();
        failures.extend(expect_refused(
            cluster.command("north-1"),
            "admin in use",
            &["--admin", &text, "in use"],
        ));
        drop(blocker);
        let blocker = UdpSocket::bind(peer).expect("a free address");
        let text = peer.to_string();
        failures.extend(expect_refused(
            cluster.command("north-1"),
            "peer in use",
            &["--vms", &text, "in use"],
        ));
        drop(blocker);
    }
    let other_data = cluster.vm("north-2").data.clone();
    let text = other_data.display().to_string();
    for check in [false, true] {
        let mut command = cluster.command_with("north-1", "--data", &text);
        if check {
            command.arg("--check");
        }
        let parts = [text.as_str(), "north-1", "north-2"];
        failures.extend(expect_refused(
            command,
            &format!("data of another VM, --check {check}"),
            &parts,
        ));
    }
    for (list, parts) in [
        ("north-1", ["--vms", "\"north-1\"", "NAME=ZONE"]),
        (
            "north-1=north=1.2.3:4=ledger",
            ["--vms", "1.2.3:4", "IP:PORT"],
        ),
        (
            "north-1=north=127.0.0.1:4=voter",
            ["--vms", "\"voter\"", "witness:ZONE"],
        ),
        (
            "north-9=north=127.0.0.1:4=ledger",
            ["--vm:", "north-1", "add it"],
        ),
        (
            "north-1=north=127.0.0.1:4=ledger",
            ["--vms", "control", "give it"],
        ),
        (
            "north-1=north=127.0.0.1:4=control",
            ["--vms", "ledger", "give it"],
        ),
    ] {
        for check in [false, true] {
            let mut command = cluster.command_with("north-1", "--vms", list);
            if check {
                command.arg("--check");
            }
            failures.extend(expect_refused(
                command,
                &format!("{list}, --check {check}"),
                &parts,
            ));
        }
    }
    let other_authority = create_authority().expect("an authority");
    let keys = cluster.vm("north-1").keys.clone();
    let authority_path = keys.join("authority.pem");
    let authority = std::fs::read(&authority_path).expect("a certificate");
    save_keys(&other_authority, "north-1", &keys);
    std::fs::write(&authority_path, &authority).expect("the file is written");
    for check in [false, true] {
        let text = keys.display().to_string();
        let mut command = cluster.command("north-1");
        let mut command_with_other_keys = cluster.command_with(
            "north-1",
            "--keys",
            &cluster.vm("north-2").keys.display().to_string(),
        );
        if check {
            command.arg("--check");
            command_with_other_keys.arg("--check");
        }
        failures.extend(expect_refused(
            command,
            "keys of another authority",
            &["vm.pem", &text, "issue"],
        ));
        failures.extend(expect_refused(
            command_with_other_keys,
            "keys of another VM",
            &["vm.pem", "north-1", "issue"],
        ));
    }
    save_keys(&cluster.authority, "north-1", &keys);
    std::fs::remove_file(keys.join("vm.key")).expect("the key is removed");
    failures.extend(expect_refused(
        cluster.command("north-1"),
        "no key",
        &["vm.key", "issue"],
    ));
    save_keys(&cluster.authority, "north-1", &keys);
    for (name, _, _) in THREE_VMS {
        cluster.spawn(name);
    }
    cluster.wait_ready("north-1");
    let data = cluster.vm("north-1").data.clone();
    let text = data.display().to_string();
    failures.extend(expect_refused(
        cluster.command("north-1"),
        "folder in use",
        &[&text, "process"],
    ));
    for n in 0..20 {
        let path = format!("/v1/templates/t{n}");
        cluster.put_document(
            &path,
            &format!("op-{n}"),
            0,
            &serde_json::json!({"target": "executor"}),
        );
    }
    cluster.kill("north-1");
    let file = largest_segment(&data);
    let intact = std::fs::read(&file).expect("a segment");
    std::fs::write(&file, &intact[..intact.len() - 3]).expect("the file is written");
    cluster.spawn("north-1");
    cluster.wait_ready("north-1");
    cluster.kill("north-1");
    let mut bytes = std::fs::read(&file).expect("a segment");
    let flipped = bytes.len() / 2;
    bytes[flipped] ^= 1;
    std::fs::write(&file, &bytes).expect("the file is written");
    let text = file.display().to_string();
    failures.extend(expect_refused(
        cluster.command("north-1"),
        "damaged",
        &[&text, "offset", "move"],
    ));
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
