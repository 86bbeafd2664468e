//! The forms in a program's help texts: commands, arguments, options and defaults, without what
//! explains them.

use std::process::Command;

/// The usage line, the options and the names of subcommands in a help text, without what explains
/// them.
fn forms(help: &str) -> (String, Vec<String>) {
    let (mut out, mut commands, mut section) = (String::new(), Vec::new(), "");
    for line in help.lines() {
        if !line.starts_with(' ') && line.ends_with(':') {
            section = line;
        }
        let form = line.trim_start();
        let indent = line.len() - form.len();
        match section {
            _ if line.starts_with("Usage:") => out += &format!("{line}\n"),
            "Commands:" if indent == 2 => commands.extend(form.split(' ').next().map(String::from)),
            "Options:" | "Arguments:"
                if (2..=6).contains(&indent) && form.starts_with(['-', '<', '[']) =>
            {
                let form = form.split("  ").next().unwrap_or(form);
                let default = line.find("[default:").map_or("", |at| &line[at..]);
                out += format!("    {form} {default}").trim_end();
                out.push('\n');
            }
            _ => {}
        }
    }
    commands.retain(|c| c != "help");
    (out, commands)
}

/// The forms of a program and all its subcommands. The program's own name, which is no part of the
/// form, is left out.
pub fn collect(program: &str, name: &str) -> String {
    let mut out = String::new();
    collect_from(program, name, &mut Vec::new(), &mut out);
    out
}

fn collect_from(program: &str, name: &str, path: &mut Vec<String>, out: &mut String) {
    let help = Command::new(program)
        .args(&*path)
        .arg("-h")
        .output()
        .expect("the program starts");
    assert!(help.status.success(), "{path:?} -h");
    let help = String::from_utf8(help.stdout)
        .expect("text")
        .replace(name, "PROGRAM");
    let (forms, commands) = forms(&help);
    *out += &forms;
    for command in commands {
        path.push(command);
        collect_from(program, name, path, out);
        path.pop();
    }
}
