//! The decision module is meant to be ported by hand: it keeps to its size.

const MAX_LINES: usize = 720;
const MAX_COLUMNS: usize = 110;

#[test]
fn the_module_keeps_to_its_size() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy =
        std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let policy = deploy
        .lines()
        .find(|l| l.starts_with("policy"))
        .expect("it names the policy files");
    let files: Vec<&str> = policy.split('"').skip(1).step_by(2).collect();
    assert!(!files.is_empty(), "no policy file in {policy}");
    let mut lines = 0;
    for file in files {
        let text = std::fs::read_to_string(root.join(file)).expect(file);
        lines += text.lines().filter(|l| !l.trim().is_empty()).count();
        for (n, line) in text.lines().enumerate() {
            let columns = line.chars().count();
            assert!(
                columns <= MAX_COLUMNS,
                "{file}:{}: {columns} columns",
                n + 1
            );
        }
    }
    assert!(lines <= MAX_LINES, "{lines} lines, {MAX_LINES} at most");
}
