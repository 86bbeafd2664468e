//! Every key of the daemon's JSON configuration file is read under its name, and a wrong type is
//! told by the key's path.

mod rig;

use rig::{temporary, write_config, write_file};
use serde_json::{Value, json};
use std::process::{Command, Output};

/// A file with every key that the daemon reads.
fn every_key() -> Value {
    let routes = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/routes.example.toml"
    );
    let key = write_file(".key", "0123456789abcdef0123456789abcdef");
    let fleet = write_file(".toml", &format!("name = \"f\"\nkey_file = {key:?}\n"));
    json!({
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "admin": "127.0.0.1:0",
        "budget": {"name": "gate", "inner": ["127.0.0.1"], "attempts": 2, "share": 0.2, "depth": 20.0, "hops": 8,
                   "reentries": 0, "same": 64, "lends": true, "stops": true},
        "routes": routes,
        "expectations": temporary(".toml"),
        "state": temporary(""),
        "fleet": fleet,
        "peer_listen": "127.0.0.1:0",
        "peers": ["127.0.0.1:9001", "127.0.0.1:9002"],
        "probation_ms": 30_000,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"seq": 1, "whole": true, "hosts": [
            {"host": "a", "dial": "127.0.0.1:9", "site": "a", "class": "m", "block": 1, "health": "SERVING",
             "share": 1.0, "born_ms": 0}
        ]},
        "settings": {
            "slotNo": 0, "peersTotal": 2, "tier": 0, "locality": 0, "localities": ["a"], "tick": 5.0,
            "overShareWorth": 0.05, "discovery": "automatic", "tenants": [{"name": "acme", "quotaPerS": 1000.0}],
            "classes": [{"name": "look", "aim": 400.0, "giveUp": 4000.0, "points": 1.0, "lateWorth": 0.0,
                         "semantics": "dedup", "group": "all", "window": 60_000.0, "fifoByKey": false}],
            "caps": {"cancelling": true, "mayDuplicate": true, "retryAfter": true, "maxRetryAfter": 1000.0,
                     "tryLimit": 6, "openCap": 1000, "connIdle": 60_000.0, "connectTimeout": 2000.0},
            "guarantees": {"coldFrom": 0.1, "cold": 9000.0, "fallMultiple": 3.0, "fall": 1000.0,
                           "stopSendingWithin": 500.0, "graceToAnswer": 20.0, "askWithin": 0.0,
                           "releaseWithin": 0.0, "settleAfterDoubt": 0.0},
            "goal": {"worstClass": 0.5}, "prices": {"crossZone": 0.1}
        }
    })
}

fn check(config: &Value) -> Output {
    let path = write_config(&config.to_string());
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathroad"));
    command.arg("check").arg(path).env_remove("RELAY_LISTEN");
    command
        .env_remove("RELAY_DISCOVERY")
        .env_remove("RELAY_ADMIN")
        .output()
        .expect("it runs")
}

/// Pointers to every member and item of a value, the containers before their content.
fn pointers(value: &Value, at: &str, all: &mut Vec<String>) {
    let mut add = |key: &str, value: &Value| {
        let pointer = format!("{at}/{key}");
        all.push(pointer.clone());
        pointers(value, &pointer, all);
    };
    match value {
        Value::Object(members) => members.iter().for_each(|(key, value)| add(key, value)),
        Value::Array(items) => items
            .iter()
            .enumerate()
            .for_each(|(i, value)| add(&i.to_string(), value)),
        _ => {}
    }
}

/// The key path that an error tells, without the texts that follow it.
fn told_path(error: &str) -> String {
    let (_, told) = error.split_once(": config: ").unwrap_or(("", error));
    let end = [": invalid type", ": unknown variant", ": expected"]
        .iter()
        .filter_map(|text| told.find(text))
        .min();
    told[..end.unwrap_or(told.len())].trim_end().to_string()
}

#[test]
fn a_file_with_every_key_is_accepted() {
    let good = check(&every_key());
    assert!(
        good.status.success(),
        "{}",
        String::from_utf8_lossy(&good.stderr)
    );
}

#[test]
fn a_wrong_type_is_told_by_its_key_path() {
    let good = every_key();
    let mut all = Vec::new();
    pointers(&good, "", &mut all);
    let mut actual = String::new();
    for pointer in all {
        let mut config = good.clone();
        let value = config.pointer_mut(&pointer).expect("it is there");
        *value = if value.is_object() {
            json!(17)
        } else {
            json!({"wrong": true})
        };
        let output = check(&config);
        let told = match output.status.code() {
            Some(0) => "accepted".to_string(),
            Some(2) => told_path(&String::from_utf8_lossy(&output.stderr)),
            other => panic!("{pointer}: ended with {other:?}"),
        };
        actual += &format!("{pointer} => {told}\n");
    }
    let golden = include_str!("golden/configuration_key_paths.txt");
    assert!(actual == golden, "the actual list is:\n{actual}");
}
