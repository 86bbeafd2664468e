//! The adapter through the built binary: what it answers, and what bad input gets.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn host(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_heathroad-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may end before it has read everything; that is its answer.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

const CLOCK: f64 = 8256.25;

fn frame(records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut f = (records.len() as u32).to_le_bytes().to_vec();
    f.extend((body.len() as u32 + 8).to_le_bytes());
    f.extend(CLOCK.to_le_bytes());
    f.extend(body);
    f
}

fn head(code: u16, instance: u16) -> Vec<u8> {
    [code.to_le_bytes(), instance.to_le_bytes()].concat()
}

fn with(mut record: Vec<u8>, fields: &[&[u8]]) -> Vec<u8> {
    fields.iter().for_each(|f| record.extend(*f));
    record
}

fn facts() -> serde_json::Value {
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

fn launch(facts: &str) -> Vec<u8> {
    with(
        head(1, 3),
        &[
            &7u64.to_le_bytes(),
            &(facts.len() as u32).to_le_bytes(),
            facts.as_bytes(),
        ],
    )
}

fn census(page: u32, backends: &[u32]) -> Vec<u8> {
    let mut r = with(
        11u16.to_le_bytes().to_vec(),
        &[&page.to_le_bytes(), &(backends.len() as u32).to_le_bytes()],
    );
    for b in backends {
        let (zone, started, weight) = (0u16.to_le_bytes(), 0f64.to_le_bytes(), 1f32.to_le_bytes());
        r = with(
            r,
            &[
                &[0],
                &b.to_le_bytes(),
                &zone,
                &started,
                &weight,
                &[0, 0],
                &[0, 0],
            ],
        );
    }
    r
}

fn discovery(page: u32, kind: u8) -> Vec<u8> {
    with(
        head(2, 3),
        &[&page.to_le_bytes(), &[kind], &1u64.to_le_bytes()],
    )
}

fn ingress(xid: u64) -> Vec<u8> {
    ingress_of(xid, 0)
}

fn ingress_of(xid: u64, key: u64) -> Vec<u8> {
    let deadline = CLOCK + 2000.0;
    let (key, hint) = (key.to_le_bytes(), 0f64.to_le_bytes());
    with(
        head(3, 3),
        &[
            &xid.to_le_bytes(),
            &key,
            &[0, 0],
            &[0],
            &hint,
            &[0, 0],
            &deadline.to_le_bytes(),
        ],
    )
}

fn replies(out: &[u8]) -> Vec<Vec<u8>> {
    let (mut at, mut all) = (0, Vec::new());
    while at < out.len() {
        let n = u32::from_le_bytes(out[at..at + 4].try_into().unwrap()) as usize;
        all.push(out[at + 4..at + 4 + n].to_vec());
        at += 4 + n;
    }
    all
}

#[test]
fn a_request_is_sent_to_the_backend_of_the_latest_page() {
    let start = frame(&[
        launch(&facts().to_string()),
        census(1, &[11]),
        discovery(1, 3),
    ]);
    // The page is used again within a batch: the number means the newer list from there on.
    let next = frame(&[
        census(1, &[22]),
        discovery(1, 0),
        census(1, &[33]),
        ingress(99),
    ]);
    let out = host(&[start, next].concat());
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let replies = replies(&out.stdout);
    assert_eq!(replies.len(), 2, "one reply to each batch");
    let mut sent = with(head(1, 3), &[&99u64.to_le_bytes(), &22u32.to_le_bytes()]);
    sent.extend((CLOCK + 2000.0).to_le_bytes());
    assert_eq!(replies[1], sent);
}

/// The rules' further settings and the request's key reach the module: order per key, closing on
/// drains.
#[test]
fn order_and_closing_pass_through() {
    let start = frame(&[
        launch(&facts().to_string()),
        census(1, &[11]),
        discovery(1, 3),
    ]);
    let two = frame(&[ingress_of(1, 77), ingress_of(2, 77)]);
    let mut drained = census(2, &[11]);
    drained[10] = 2; // the phase of its only entry
    let out = host(&[start, two, frame(&[drained, discovery(2, 1)])].concat());
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let replies = replies(&out.stdout);
    assert_eq!(
        replies[1].len(),
        24,
        "one attempt and no more: {:?}",
        replies[1]
    );
    assert_eq!(replies[2], with(head(7, 3), &[&11u32.to_le_bytes()]));
}

#[test]
fn a_clean_end_of_input_exits_zero() {
    let out = host(&[]);
    assert!(out.status.success() && out.stdout.is_empty());
    let out = host(&frame(&[]));
    assert!(out.status.success());
    assert_eq!(out.stdout, [0, 0, 0, 0]);
}

#[test]
fn bad_input_is_one_line_and_no_reply() {
    let good = frame(&[
        launch(&facts().to_string()),
        census(1, &[11]),
        discovery(1, 3),
    ]);
    let with_facts = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut f = facts();
        change(&mut f);
        frame(&[launch(&f.to_string())])
    };
    let mut long = frame(&[census(1, &[11])]);
    long[4] += 4;
    long.extend([0; 4]);
    let mut short = frame(&[]);
    short[4] = 3;
    let mut clock = frame(&[]);
    clock[8..16].copy_from_slice(&f64::NAN.to_le_bytes());
    let cases: Vec<(Vec<u8>, &[&str])> = vec![
        (good[..10].to_vec(), &["frame", "header", "10 of 16"]),
        (good[..good.len() - 3].to_vec(), &["frame", "truncated"]),
        (short, &["byte 4", "length 3"]),
        (clock, &["byte 8", "clock"]),
        (long, &["4 bytes left over"]),
        (frame(&[head(44, 3)]), &["record 0", "byte 16", "event 44"]),
        (frame(&[census(16, &[])]), &["page 16"]),
        (
            frame(&[with(head(6, 3), &[&[1, 2, 3]])]),
            &["byte 20", "xid"],
        ),
        (frame(&[ingress(1)]), &["instance 3"]),
        (frame(&[head(10, 3)]), &["instance 3"]),
        (
            frame(&[launch(&facts().to_string()), discovery(5, 0)]),
            &["record 1", "page 5", "never defined"],
        ),
        (
            frame(&[launch(&facts().to_string()), discovery(5, 9)]),
            &["list kind 9"],
        ),
        (frame(&[launch("{nonsense")]), &["record 0", "settings"]),
        (
            with_facts(&|f| drop(f.as_object_mut().unwrap().remove("tick"))),
            &["settings", "tick"],
        ),
        (
            with_facts(&|f| f["classes"][0]["aim"] = (-4.0).into()),
            &["classes[0].aim", "negative"],
        ),
        (
            with_facts(&|f| f["guarantees"]["cold"] = "x".into()),
            &["guarantees.cold"],
        ),
        (with_facts(&|f| f["slotNo"] = 5.into()), &["slotNo"]),
        (
            frame(&[launch(&facts().to_string().replace("500.0", "1e999"))]),
            &["settings"],
        ),
    ];
    for (input, words) in cases {
        let out = host(&input);
        let error = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(1), "{words:?}: {error}");
        assert!(out.stdout.is_empty(), "{words:?}: a reply was begun");
        assert_eq!(error.lines().count(), 1, "{words:?}: {error}");
        words
            .iter()
            .for_each(|w| assert!(error.contains(w), "'{w}' is not named: {error}"));
    }
}

/// Events that no decision needs are read whole and passed over, for instances that run.
#[test]
fn unused_events_are_passed_over() {
    let first_byte = |i| {
        with(
            head(4, i),
            &[
                &1u64.to_le_bytes(),
                &[0],
                &11u32.to_le_bytes(),
                &5f64.to_le_bytes(),
            ],
        )
    };
    let report = [&[1u8][..], &0.5f32.to_le_bytes()].concat();
    let sampled = with(
        head(8, 3),
        &[&5f64.to_le_bytes(), &11u32.to_le_bytes(), &[0, 0], &report],
    );
    let datagram = with(
        head(9, 3),
        &[&1u32.to_le_bytes(), &2u16.to_le_bytes(), b"hi"],
    );
    let start = frame(&[
        launch(&facts().to_string()),
        census(1, &[11]),
        discovery(1, 3),
    ]);
    let rest = frame(&[first_byte(3), sampled, datagram]);
    let out = host(&[start.clone(), rest].concat());
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    assert_eq!(replies(&out.stdout)[1], Vec::<u8>::new());
    let out = host(&[start, frame(&[first_byte(8)])].concat());
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stderr).contains("instance 8 is unknown"));
}
