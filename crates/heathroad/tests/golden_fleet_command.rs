//! What `heathroad fleet` asks of a daemon, and its answers as text and as a picture, stay as they
//! are.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Command;

/// Two versions that differ in routes, one more that differs in its list alone.
const VERSIONS: [&str; 3] = [
    r#"{"build":"0.2.0","protocols":[1,1],"settings":"1111111111111111","generation":7,"routes":"2222222222222222","sources":[{"source":"3333333333333333","seq":41}],"further":0}"#,
    r#"{"build":"0.2.0","protocols":[1,1],"settings":"1111111111111111","generation":0,"routes":"0000000000000000","sources":[],"further":0}"#,
    r#"{"build":"0.2.0","protocols":[1,1],"settings":"1111111111111111","generation":7,"routes":"2222222222222222","sources":[{"source":"3333333333333333","seq":42}],"further":0}"#,
];

fn members() -> String {
    let [one, two, three] = VERSIONS;
    format!(
        r#"{{"fleet":"kano","place":0,"at":1790000100000,"cut_off":true,"fenced":false,"silent_ms":4100,"doubt":2,
        "wanted":{{"is":"one","number":7,"digest":"2222222222222222","by":1}},
        "required":[{{"number":7,"digest":"2222222222222222","at":90000}}],"traffic":{{}},"news":[],
        "members":[
        {{"place":0,"address":"127.0.0.1:1","me":true,"standing":"alive","incarnation":{{"life":1790000000000,"turn":0}},"for_ms":9999,"heard_ms":null,"accusers":[],"protocols":[1,1],"acts":["aaaaaaaaaaaaaaaa",3],"version":{one}}},
        {{"place":1,"address":"127.0.0.1:2","me":false,"standing":"suspect","incarnation":{{"life":1790000000001,"turn":2}},"for_ms":599999,"heard_ms":12000,"accusers":[0,3],"protocols":[1,1],"acts":["bbbbbbbbbbbbbbbb",1],"version":{two}}},
        {{"place":2,"address":"127.0.0.1:3","me":false,"standing":"gone","incarnation":{{"life":1790000000002,"turn":0}},"for_ms":36000000,"heard_ms":600000,"accusers":[],"protocols":[1,1],"acts":["cccccccccccccccc",9],"version":{three}}},
        {{"place":3,"address":"127.0.0.1:4","me":false,"standing":"alive","incarnation":{{"life":1790000000003,"turn":0}},"for_ms":36000001,"heard_ms":null,"accusers":[],"protocols":[1,1],"acts":["dddddddddddddddd",1],"version":null}},
        {{"place":4,"address":"127.0.0.1:5","me":false,"standing":"unknown","incarnation":{{"life":0,"turn":0}},"for_ms":0,"heard_ms":null,"accusers":[],"protocols":[1,1],"acts":null,"version":null}}]}}"#
    )
}

fn audit() -> String {
    let [one, two, three] = VERSIONS;
    let acts = r#"{"bound":9,"sent":8,"served":7,"refused":6,"failed":5,"fenced":4,"applied":3,"undone":2}"#;
    let page = |digest: &str, version: &str, from: u64, to: &str, versions: u64, torn: bool| {
        format!(
            r#"{{"life":1790000000000,"version":{version},"digest":"{digest}","versions":{versions},"from":{from},"to":{to},"torn":{torn},"first":{from},"last":{from},"acts":{acts}}}"#
        )
    };
    let first = page(
        "aaaaaaaaaaaaaaaa",
        one,
        1_790_000_000_000,
        "1790000040000",
        2,
        true,
    );
    let second = page(
        "bbbbbbbbbbbbbbbb",
        two,
        1_790_000_040_000,
        "1790000050000",
        1,
        false,
    );
    let third = page(
        "cccccccccccccccc",
        three,
        1_790_000_050_000,
        "null",
        1,
        false,
    );
    let known = r#""since":1790000000000,"at":1790000090000,"clock_off_ms":-12,"clock_error_ms":3"#;
    let rest = r#""lost":{"pages":4,"acts":{},"until":1790000000000},"spells":[{"trouble":"cut_off","from":1790000010000,"to":1790000012000},{"trouble":"stalled","from":1790000020000,"to":1790000021000},{"trouble":"fenced","from":1790000080000,"to":null}],"turned_down":[{"at":1790000060000,"generation":8,"routes":"4444444444444444","why":"pool \"a<b\" & more"}]"#;
    format!(
        r#"{{"fleet":"kano & co","asked":0,"at":1790000100000,"cut_off":false,
        "wanted":{{"is":"both","number":8,"digests":["4444444444444444","5555555555555555"]}},"required":[],
        "members":[
        {{"place":0,"address":"127.0.0.1:1","me":true,"standing":"alive","incarnation":{{}},"reached":true,{known},"pages":[{first},{second},{third}],{rest}}},
        {{"place":1,"address":"127.0.0.1:2","me":false,"standing":"gone","incarnation":{{}},"reached":false,"why":"it did not answer","last_heard_ms":12000,"last_acts":["aaaaaaaaaaaaaaaa",3],"last_version":{one},"unknown_until":null,
          "collected":{{"reached":false,"by":2,"collected_at":1790000070000,{known},"pages":[{first}],{rest}}}}},
        {{"place":2,"address":"127.0.0.1:3","me":false,"standing":"unknown","incarnation":{{}},"reached":false,"why":"it was never heard","last_heard_ms":null,"last_acts":null,"last_version":null,"unknown_until":null,"collected":null}}]}}"#
    )
}

/// Answers one request with a text, and tells its first line.
fn serve(answer: String) -> (SocketAddr, std::thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let asked = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("a whole request");
            request.push(byte[0]);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            answer.len()
        );
        stream
            .write_all((head + &answer).as_bytes())
            .expect("it is read");
        // The caller ends the connection.
        let _ = stream.read(&mut [0]);
        String::from_utf8_lossy(&request)
            .lines()
            .next()
            .expect("a line")
            .to_string()
    });
    (address, asked)
}

/// Runs the command against an answer: the request's first line and all that it prints.
fn run(args: &[&str], answer: String) -> String {
    let (address, asked) = serve(answer);
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathroad"));
    command
        .arg("fleet")
        .args(args)
        .arg("--admin")
        .arg(address.to_string());
    let output = command.output().expect("it starts");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let asked = asked.join().expect("it was asked");
    format!("{asked}\n{}\n", String::from_utf8_lossy(&output.stdout))
}

fn assert_golden(name: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    let expected = std::fs::read_to_string(path).unwrap_or_default();
    assert!(
        actual == expected,
        "{name} differs; it is now:\n{actual}<<<"
    );
}

#[test]
fn answers_as_text_are_as_before() {
    let mut text = run(&["members"], members());
    text += &run(&["versions"], members());
    text += &run(
        &[
            "audit",
            "--since",
            "1790000000000",
            "--version",
            "7",
            "--at",
            "1790000000001",
        ],
        audit(),
    );
    text += &run(&["audit", "--json"], audit());
    assert_golden("fleet_command.txt", &text);
}

#[test]
fn the_picture_of_the_audit_is_as_before() {
    let file =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-audit.svg", std::process::id()));
    run(
        &["audit", "--picture", file.to_str().expect("text")],
        audit(),
    );
    let mut picture = std::fs::read_to_string(&file).expect("it was drawn");
    picture.push('\n');
    assert_golden("fleet_audit.svg", &picture);
}
