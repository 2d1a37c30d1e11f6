//! Output and exit codes of `greengagectl check`.

mod server;

use std::path::PathBuf;
use std::process::Command;

use greengage_platform::CONFIGURATION_PATH;
use serde_json::{json, Value};
use server::{answer, listen, serve};

/// A file of the platform's test data.
fn file(name: &str) -> String {
    let mut path = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    path.extend(["..", "..", "platform", "tests", "configurations", name]);
    path.canonicalize().unwrap().to_str().unwrap().to_string()
}

/// Runs the command; returns its exit code and output.
fn check(args: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_greengagectl"));
    let output = command.arg("check").args(args).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

/// Guards against a script that sends a configuration with errors, or holds one back without any.
#[test]
fn exit_codes_tell_warnings_from_errors() {
    let (clean, warnings) = (file("clean.json"), file("warnings.json"));
    assert_eq!(check(&[&clean]), (Some(0), String::new(), String::new()));
    let (code, output, _) = check(&[&warnings]);
    assert_eq!(code, Some(1));
    let warning = format!("{warnings}:9: warning: no queue refers to service \"spare\": ");
    assert!(
        output.starts_with(&warning) && output.lines().count() == 1,
        "{output}"
    );
    let (code, output, _) = check(&[&file("invalid.json")]);
    assert_eq!(code, Some(2));
    assert_eq!(output.matches(": error: ").count(), 2, "{output}");
    for args in [
        &["/nonexistent"][..],
        &[&clean, "--against", "localhost"],
        &[&clean, "--against", &file("invalid.json")],
        &[&clean, "--settings", &clean],
        &[&clean, "--shortest-run", "0"],
        &[],
    ] {
        let (code, output, error) = check(args);
        assert_eq!((code, output.as_str()), (Some(2), ""), "{args:?}");
        assert!(!error.is_empty(), "{args:?}");
    }
}

/// Guards against differences that count as findings, and against limits of other VMs than those that
/// are named.
#[test]
fn options_say_what_is_compared() {
    let (clean, warnings, small) = (
        file("clean.json"),
        file("warnings.json"),
        file("small-vm.toml"),
    );
    let (code, output, _) = check(&[
        &warnings,
        "--json",
        "--against",
        &clean,
        "--settings",
        &small,
    ]);
    assert_eq!(code, Some(1));
    let output: Value = serde_json::from_str(&output).unwrap();
    let codes: Vec<&Value> = output["findings"]
        .as_array()
        .unwrap()
        .iter()
        .map(|f| &f["code"])
        .collect();
    assert_eq!(codes, ["unused-service", "large-body"]);
    let entry = "queue desk.example/jobs/";
    let set = |entry: &str, field: &str, from: &str, to: &str| json!({"entry": entry, "change": "set", "field": field, "from": from, "to": to});
    let expected = json!([
        set("document", "version", "7", "8"),
        set("limits", "body limit", "262144", "6000000"),
        set(entry, "time-out", "1.5s", "2s"),
        {"entry": "service spare", "change": "added"},
    ]);
    assert_eq!(output["differences"], expected);
    let (code, output, _) = check(&[&clean, "--served", "other,third", "--shortest-run", "600"]);
    assert_eq!((code, output.lines().count()), (Some(1), 2), "{output}");
}

/// Guards against a size that is refused for the memory of a VM which never receives the configuration.
#[test]
fn size_of_a_configuration_is_limited_by_control_vms() {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_string()
    };
    let mut large = std::fs::read_to_string(file("clean.json")).unwrap();
    large.push_str(&" ".repeat(5_100_000));
    let (large, entry) = (write("large.json", &large), file("small-vm.toml"));
    let text = std::fs::read_to_string(&entry).unwrap();
    let control = text.replace("front", "data-dir = \"data\"\n[bind-addresses]\ncontrol");
    let control = control.replacen("[bind-addresses]", "", 1);
    let control = write("control.toml", &control);
    assert_eq!(check(&[&large, "--settings", &entry]).0, Some(0));
    let settings = ["--settings", &entry, "--settings", &control];
    let (code, output, _) = check(&[&[&*large][..], &settings].concat());
    assert_eq!(code, Some(2));
    assert!(
        output.contains(":1: error: the configuration is too large"),
        "{output}"
    );
}

/// Guards against a comparison with what a VM knows that may not have the newest version, or with an
/// answer that is no configuration.
#[test]
fn version_in_force_is_that_of_the_leader() {
    let ((follower, asked), (leader, led)) = (listen(), listen());
    let location = format!("Location: http://{led}{CONFIGURATION_PATH}\r\n");
    let follower = serve(
        follower,
        vec![answer("307 Temporary Redirect", &location, "{}")],
    );
    let in_force = std::fs::read_to_string(file("clean.json")).unwrap();
    let leader = serve(leader, vec![answer("200 OK", "", &in_force)]);
    let clean = file("clean.json");
    assert_eq!(
        check(&[&clean, "--against", &asked]),
        (Some(0), String::new(), String::new())
    );
    follower.join().unwrap();
    let head = &leader.join().unwrap()[0];
    assert!(
        head.starts_with(&format!("get {} ", CONFIGURATION_PATH.to_lowercase())),
        "{head}"
    );
    for (status, body) in [("503 Service Unavailable", "{}"), ("200 OK", "[]")] {
        let (listener, address) = listen();
        let server = serve(listener, vec![answer(status, "", body)]);
        let (code, output, _) = check(&[&clean, "--against", &address]);
        assert_eq!((code, output.as_str()), (Some(2), ""), "{status}");
        server.join().unwrap();
    }
}
