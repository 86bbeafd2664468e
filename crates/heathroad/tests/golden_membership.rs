//! The fleet's file and the stored record of acts: read as before, from outside the program.

mod rig;

use rig::*;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Every key of the file but those of duties.
const FULL: &str = "name = \"kano\"\nkey_file = \"fleet.key\"\nperiod_ms = 200\nfence_unsure_after_ms = 1000\n\
                    tells_backends = true\n";
const SHORT: &str = "name = \"kano\"\nkey_file = \"fleet.key\"\n";
const KEY: &str = "a key of the test's own, long enough\n";

/// A folder with a fleet's file and its key.
fn fleet_file(text: &str, key: &str) -> PathBuf {
    let folder = temporary("-fleet");
    std::fs::create_dir(&folder).expect("the folder for tests takes another");
    std::fs::write(folder.join("fleet.key"), key).expect("writable");
    std::fs::write(folder.join("fleet.toml"), text).expect("writable");
    folder.join("fleet.toml")
}

fn config(fleet: &Path) -> Value {
    serde_json::json!({
        "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1", "fleet": fleet,
        "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:9"],
        "limits": {"memory_mb": 32, "sockets": 256}, "settings": settings()
    })
}

/// Has a configuration checked as a start would: whether it passes, and what is said of it.
fn check(config: &Value) -> (bool, String) {
    let path = write_config(&config.to_string());
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathroad"));
    command.arg("check").arg(path);
    for name in [
        "RELAY_CONFIG",
        "RELAY_LISTEN",
        "RELAY_DISCOVERY",
        "RELAY_ADMIN",
    ] {
        command.env_remove(name);
    }
    let output = command.output().expect("it starts");
    (
        output.status.success(),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

#[test]
fn all_keys_of_the_fleets_file_are_accepted() {
    for text in [SHORT, FULL] {
        for key in [KEY, "sixteen bytes ok"] {
            let (good, said) = check(&config(&fleet_file(text, key)));
            assert!(good, "{text}: {said}");
        }
    }
}

#[test]
fn what_is_wrong_in_the_fleets_file_is_refused() {
    let short_key = "too short\n".to_string();
    let long_key = "k".repeat(1025);
    let cases = [
        (
            format!("{FULL}other = 1\n"),
            KEY,
            "unknown field `other`, expected one of `name`, `key_file`, \
          `tells_backends`, `fence_unsure_after_ms`, `period_ms`, `duties`, `duty`",
        ),
        (
            "key_file = \"fleet.key\"\n".into(),
            KEY,
            "missing field `name`",
        ),
        ("name = \"kano\"\n".into(), KEY, "missing field `key_file`"),
        (
            SHORT.replace("kano", ""),
            KEY,
            "name: expected 1 to 16 bytes",
        ),
        (
            SHORT.replace("kano", "a name of 17 byte"),
            KEY,
            "name: expected 1 to 16 bytes",
        ),
        (SHORT.into(), &short_key, "key: expected 16 to 1024 bytes"),
        (SHORT.into(), &long_key, "more than 1024 bytes"),
        (SHORT.replace("fleet.key", "none.key"), KEY, "key_file: "),
        (
            format!("{SHORT}period_ms = 99\n"),
            KEY,
            "period_ms: 99; expected 100 to 60000",
        ),
        (
            format!("{SHORT}period_ms = 60001\n"),
            KEY,
            "period_ms: 60001; expected 100 to 60000",
        ),
        (
            format!("{SHORT}fence_unsure_after_ms = 4999\n"),
            KEY,
            "fence_unsure_after_ms: 4999; expected 5000 at least, 5 periods",
        ),
    ];
    for (text, key, why) in cases {
        let (good, said) = check(&config(&fleet_file(&text, key)));
        assert!(!good && said.contains(why), "{text}: {said}");
    }
}

#[test]
fn a_fleet_needs_its_addresses() {
    let file = fleet_file(SHORT, KEY);
    let mut without = config(&file);
    without
        .as_object_mut()
        .expect("an object")
        .remove("peer_listen");
    let (good, said) = check(&without);
    assert!(
        !good && said.contains("config: peer_listen: is missing"),
        "{said}"
    );
    let mut without = config(&file);
    without.as_object_mut().expect("an object").remove("peers");
    let (good, said) = check(&without);
    assert!(
        !good && said.contains("config: peers: expected one address for each proxy"),
        "{said}"
    );
}

/// The daemon goes on in the record of an earlier one, under the file's name, and tells all of it.
#[tokio::test]
async fn a_record_stored_before_is_told_and_stored_on() {
    let golden = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../heathroad-membership/tests/golden/activity_record.json");
    let before: Value =
        serde_json::from_slice(&std::fs::read(golden).expect("it is there")).expect("JSON");
    let state = temporary("-state");
    std::fs::create_dir(&state).expect("the folder for tests takes another");
    std::fs::write(state.join("acts.json"), before.to_string()).expect("writable");
    let discovery = Discovery::start(vec![]).await;
    let mut config = discovery.config(settings());
    config["admin"] = "127.0.0.1:0".into();
    config["fleet"] = fleet_file(SHORT, KEY).to_str().into();
    config["peer_listen"] = "127.0.0.1:0".into();
    config["peers"] = serde_json::json!(["127.0.0.1:9"]);
    config["state"] = state.to_str().into();
    let (mut proxy, admin) = Proxy::start_with_admin(&config).await;
    let (status, text) = ask(admin, "GET", "/fleet/audit", "").await;
    assert_eq!(status, 200);
    let audit: Value = serde_json::from_str(&text).expect("JSON");
    let member = &audit["members"][0];
    assert_eq!(audit["fleet"], "kano");
    goes_on(&before, member);
    assert_eq!(member["pages"][3]["version"]["generation"], 0);
    proxy.terminate().await;
    assert!(proxy.ended().await.success());
    let stored = std::fs::read(state.join("acts.json")).expect("it is kept");
    let stored: Value = serde_json::from_slice(&stored).expect("JSON");
    goes_on(&before, &stored);
    assert!(stored["pages"][3]["to"].is_u64(), "{stored}");
}

/// What was on record is still there, and what was open then ended when it was written down.
fn goes_on(before: &Value, now: &Value) {
    for same in ["since", "lost", "turned_down"] {
        assert_eq!(now[same], before[same], "{same}");
    }
    let mut pages = before["pages"].as_array().expect("pages").clone();
    (pages[2]["to"], pages[2]["torn"]) = (before["at"].clone(), true.into());
    let now_pages = now["pages"].as_array().expect("pages");
    assert_eq!(now_pages[..3], pages[..]);
    assert!(now_pages.len() >= 4, "{now}");
    let mut spells = before["spells"].as_array().expect("spells").clone();
    spells[2]["to"] = before["at"].clone();
    assert_eq!(now["spells"].as_array().expect("spells")[..3], spells[..]);
}
