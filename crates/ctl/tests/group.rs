//! The requests that `greengagectl group` sends to a VM.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::process::Command;

/// Runs `greengagectl` against a server that takes one request; returns the body of the request.
fn request_body(args: &[&str]) -> serde_json::Value {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let mut reader = BufReader::new(stream);
        let mut length = 0;
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).unwrap();
            let line = line.trim().to_lowercase();
            if let Some(number) = line.strip_prefix("content-length:") {
                length = number.trim().parse().unwrap();
            }
            if line.is_empty() {
                break;
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).unwrap();
        let answer =
            b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\nConnection: close\r\n\r\n{\"members\":[]}";
        reader.get_mut().write_all(answer).unwrap();
        serde_json::from_slice(&body).unwrap()
    });
    let mut command = Command::new(env!("CARGO_BIN_EXE_greengagectl"));
    let output = command.args(["--admins", &address]).args(args).output();
    let output = output.unwrap();
    assert!(output.status.success(), "{args:?}: {output:?}");
    server.join().unwrap()
}

/// Guards against member names in a form that VMs don't parse; a member whose data folder is lost
/// could then not be replaced.
#[test]
fn members_use_the_vm_folder_id_form() {
    let member = ["ledger-north", "vm1", "--folder", "1f3"];
    let run = |verb| request_body(&[&["group", verb], &member[..]].concat()).to_string();
    assert_eq!(run("add"), r#"{"add_learner":"vm1#1f3"}"#);
    assert_eq!(run("promote"), r#"{"promote":"vm1#1f3","seat":"voter"}"#);
    assert_eq!(run("remove"), r#"{"remove":"vm1#1f3"}"#);
}
