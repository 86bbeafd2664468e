//! Runs the built adapter on frames, and checks its replies and its errors on invalid input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_heathroad-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // Fails if the adapter exits before it has read all input.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter exits")
}

/// The clock time of each frame, in ms.
const CLOCK: f64 = 8256.25;

fn frame(records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut frame = (records.len() as u32).to_le_bytes().to_vec();
    frame.extend((body.len() as u32 + 8).to_le_bytes());
    frame.extend(CLOCK.to_le_bytes());
    frame.extend(body);
    frame
}

/// Returns the header of a record or action.
fn header(code: u16, instance: u16) -> Vec<u8> {
    [code.to_le_bytes(), instance.to_le_bytes()].concat()
}

fn with_fields(mut record: Vec<u8>, fields: &[&[u8]]) -> Vec<u8> {
    fields.iter().for_each(|field| record.extend(*field));
    record
}

fn settings() -> serde_json::Value {
    serde_json::json!({
        "slotNo": 0, "peersTotal": 1, "tier": 0, "locality": 0, "tick": 5.0, "overShareWorth": 0.05,
        "discovery": "automatic", "weights": "silent", "tenants": [{"quotaPerS": 10.0}], "someNewKey": -1,
        "classes": [{"aim": 500.0, "giveUp": 2000.0, "points": 1.0, "lateWorth": 0.0,
                     "semantics": "dedup", "group": "zone", "window": 4000.0, "fifoByKey": true}],
        "caps": {"cancelling": true, "mayDuplicate": true, "probes": false, "peers": false, "retryAfter": true,
                 "maxRetryAfter": 1000.0, "tryLimit": 3, "connectTimeout": 250.0},
        "guarantees": {"coldFrom": 0.1, "cold": 9000.0, "fallMultiple": 3.0, "fall": 1000.0,
                       "stopSendingWithin": 250.0, "graceToAnswer": 20.0,
                       "releaseWithin": 500.0, "settleAfterDoubt": 300.0}
    })
}

fn launch(settings: &str) -> Vec<u8> {
    with_fields(
        header(1, 3),
        &[
            &7u64.to_le_bytes(),
            &(settings.len() as u32).to_le_bytes(),
            settings.as_bytes(),
        ],
    )
}

fn endpoint_page(page: u32, backends: &[u32]) -> Vec<u8> {
    let mut record = with_fields(
        11u16.to_le_bytes().to_vec(),
        &[&page.to_le_bytes(), &(backends.len() as u32).to_le_bytes()],
    );
    for backend in backends {
        let (zone, started_at, weight) =
            (0u16.to_le_bytes(), 0f64.to_le_bytes(), 1f32.to_le_bytes());
        record = with_fields(
            record,
            &[
                &[0],
                &backend.to_le_bytes(),
                &zone,
                &started_at,
                &weight,
                &[0, 0],
                &[0, 0],
            ],
        );
    }
    record
}

fn endpoint_update(page: u32, kind: u8) -> Vec<u8> {
    with_fields(
        header(2, 3),
        &[&page.to_le_bytes(), &[kind], &1u64.to_le_bytes()],
    )
}

fn request(id: u64) -> Vec<u8> {
    request_with_key(id, 0)
}

fn request_with_key(id: u64, key: u64) -> Vec<u8> {
    let deadline = CLOCK + 2000.0;
    let (key, predicted) = (key.to_le_bytes(), 0f64.to_le_bytes());
    with_fields(
        header(3, 3),
        &[
            &id.to_le_bytes(),
            &key,
            &[0, 0],
            &[0],
            &predicted,
            &[0, 0],
            &deadline.to_le_bytes(),
        ],
    )
}

/// Splits the output into replies.
fn replies(output: &[u8]) -> Vec<Vec<u8>> {
    let (mut at, mut replies) = (0, Vec::new());
    while at < output.len() {
        let length = u32::from_le_bytes(output[at..at + 4].try_into().unwrap()) as usize;
        replies.push(output[at + 4..at + 4 + length].to_vec());
        at += 4 + length;
    }
    replies
}

/// A page may be redefined within a frame; an update uses the latest preceding definition.
#[test]
fn endpoint_update_uses_the_latest_page() {
    let start = frame(&[
        launch(&settings().to_string()),
        endpoint_page(1, &[11]),
        endpoint_update(1, 3),
    ]);
    let next = frame(&[
        endpoint_page(1, &[22]),
        endpoint_update(1, 0),
        endpoint_page(1, &[33]),
        request(99),
    ]);
    let output = run_adapter(&[start, next].concat());
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let replies = replies(&output.stdout);
    assert_eq!(replies.len(), 2, "one reply per frame");
    let mut send = with_fields(header(1, 3), &[&99u64.to_le_bytes(), &22u32.to_le_bytes()]);
    send.extend((CLOCK + 2000.0).to_le_bytes());
    assert_eq!(replies[1], send);
}

/// The request's key and the settings for ordering and for closing idle connections reach the
/// balancer.
#[test]
fn ordering_and_idle_closing_take_effect() {
    let start = frame(&[
        launch(&settings().to_string()),
        endpoint_page(1, &[11]),
        endpoint_update(1, 3),
    ]);
    let same_key = frame(&[request_with_key(1, 77), request_with_key(2, 77)]);
    let mut draining = endpoint_page(2, &[11]);
    draining[10] = 2; // the state of the only endpoint
    let output =
        run_adapter(&[start, same_key, frame(&[draining, endpoint_update(2, 1)])].concat());
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let replies = replies(&output.stdout);
    assert_eq!(replies[1].len(), 24, "a single attempt: {:?}", replies[1]);
    assert_eq!(
        replies[2],
        with_fields(header(7, 3), &[&11u32.to_le_bytes()])
    );
}

#[test]
fn end_of_input_exits_with_success() {
    let output = run_adapter(&[]);
    assert!(output.status.success() && output.stdout.is_empty());
    let output = run_adapter(&frame(&[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0]);
}

#[test]
fn invalid_input_is_one_line_and_no_reply() {
    let valid = frame(&[
        launch(&settings().to_string()),
        endpoint_page(1, &[11]),
        endpoint_update(1, 3),
    ]);
    let launch_with = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut settings = settings();
        change(&mut settings);
        frame(&[launch(&settings.to_string())])
    };
    let mut too_long = frame(&[endpoint_page(1, &[11])]);
    too_long[4] += 4;
    too_long.extend([0; 4]);
    let mut too_short = frame(&[]);
    too_short[4] = 3;
    let mut nan_clock = frame(&[]);
    nan_clock[8..16].copy_from_slice(&f64::NAN.to_le_bytes());
    let cases: Vec<(Vec<u8>, &[&str])> = vec![
        (valid[..10].to_vec(), &["frame", "header", "10 of 16"]),
        (valid[..valid.len() - 3].to_vec(), &["frame", "truncated"]),
        (too_short, &["byte 4", "length 3"]),
        (nan_clock, &["byte 8", "clock"]),
        (too_long, &["4 bytes left over"]),
        (
            frame(&[header(44, 3)]),
            &["record 0", "byte 16", "event 44"],
        ),
        (frame(&[endpoint_page(16, &[])]), &["page 16"]),
        (
            frame(&[with_fields(header(6, 3), &[&[1, 2, 3]])]),
            &["byte 20", "xid"],
        ),
        (frame(&[request(1)]), &["instance 3"]),
        (frame(&[header(10, 3)]), &["instance 3"]),
        (
            frame(&[launch(&settings().to_string()), endpoint_update(5, 0)]),
            &["record 1", "page 5", "never defined"],
        ),
        (
            frame(&[launch(&settings().to_string()), endpoint_update(5, 9)]),
            &["list kind 9"],
        ),
        (frame(&[launch("{nonsense")]), &["record 0", "settings"]),
        (
            launch_with(&|settings| drop(settings.as_object_mut().unwrap().remove("tick"))),
            &["settings", "tick"],
        ),
        (
            launch_with(&|settings| settings["classes"][0]["aim"] = (-4.0).into()),
            &["classes[0].aim", "negative"],
        ),
        (
            launch_with(&|settings| settings["guarantees"]["cold"] = "x".into()),
            &["guarantees.cold"],
        ),
        (
            launch_with(&|settings| settings["slotNo"] = 5.into()),
            &["slotNo"],
        ),
        (
            frame(&[launch(&settings().to_string().replace("500.0", "1e999"))]),
            &["settings"],
        ),
    ];
    for (input, words) in cases {
        let output = run_adapter(&input);
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{words:?}: {error}");
        assert!(output.stdout.is_empty(), "{words:?}: a reply was written");
        assert_eq!(error.lines().count(), 1, "{words:?}: {error}");
        words
            .iter()
            .for_each(|word| assert!(error.contains(word), "no '{word}' in the error: {error}"));
    }
}

/// Records that the balancer does not use are read completely, for known instances only.
#[test]
fn unused_records_are_ignored() {
    let attempt_started = |instance| {
        with_fields(
            header(4, instance),
            &[
                &1u64.to_le_bytes(),
                &[0],
                &11u32.to_le_bytes(),
                &5f64.to_le_bytes(),
            ],
        )
    };
    let load_report = [&[1u8][..], &0.5f32.to_le_bytes()].concat();
    let health_check = with_fields(
        header(8, 3),
        &[
            &5f64.to_le_bytes(),
            &11u32.to_le_bytes(),
            &[0, 0],
            &load_report,
        ],
    );
    let peer_message = with_fields(
        header(9, 3),
        &[&1u32.to_le_bytes(), &2u16.to_le_bytes(), b"hi"],
    );
    let start = frame(&[
        launch(&settings().to_string()),
        endpoint_page(1, &[11]),
        endpoint_update(1, 3),
    ]);
    let unused = frame(&[attempt_started(3), health_check, peer_message]);
    let output = run_adapter(&[start.clone(), unused].concat());
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_eq!(replies(&output.stdout)[1], Vec::<u8>::new());
    let output = run_adapter(&[start, frame(&[attempt_started(8)])].concat());
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("instance 8 is unknown"));
}
