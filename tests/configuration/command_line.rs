//! Tests the output and the exit codes of the operators' client.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Output;

use expect_test::{Expect, expect};
use pistachioyard_standins::Binaries;

use crate::support::{Fixture, IN_FORCE_LIMIT, config_text_with_weight};

/// Runs the operators' client.
struct Client {
    directory: tempfile::TempDir,
    entries: Vec<SocketAddr>,
    /// The placeholders for addresses in snapshots.
    placeholders: Vec<(&'static str, SocketAddr)>,
}

impl Client {
    /// Runs a command and returns its exit code and output, rendered for a snapshot.
    async fn run(&self, args: &[&str], takes_entries: bool) -> String {
        let program = Binaries::find().expect("the binaries are not built").router;
        let mut command = tokio::process::Command::new(program);
        command.args(args).current_dir(self.directory.path());
        for entry in self.entries.iter().filter(|_| takes_entries) {
            command.arg("--entry").arg(entry.to_string());
        }
        self.render(&command.output().await.expect("failed to run the client"))
    }

    /// Replaces addresses with placeholders, and collapses white space, whose width depends on the
    /// length of addresses.
    fn render(&self, output: &Output) -> String {
        let mut text = format!("exit {}\n", output.status.code().unwrap_or(-1));
        text += &String::from_utf8_lossy(&output.stdout);
        text += &String::from_utf8_lossy(&output.stderr);
        for (name, address) in &self.placeholders {
            text = text.replace(&address.to_string(), name);
        }
        let lines = text.lines().map(|line| {
            let words: Vec<&str> = line.split_whitespace().collect();
            words.join(" ") + "\n"
        });
        lines.collect()
    }

    /// Runs a command and compares its rendered output with a snapshot.
    async fn expect(&self, args: &[&str], expected: Expect) {
        let takes_entries = args[0] != "check";
        expected.assert_eq(&self.run(args, takes_entries).await);
    }

    /// Writes a file to the client's working directory.
    fn write(&self, name: &str, text: &str) {
        std::fs::write(Path::new(self.directory.path()).join(name), text)
            .expect("failed to write the file");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_clients_exit_code_reports_what_happened_to_a_file() {
    let fixture = Fixture::start(2, false).await;
    let client = Client {
        directory: tempfile::TempDir::new().expect("failed to create a temporary directory"),
        entries: vec![fixture.caller(0), fixture.caller(1)],
        placeholders: vec![
            ("<entry-0>", fixture.caller(0)),
            ("<entry-1>", fixture.caller(1)),
            ("<platform>", fixture.cluster.listed_platform),
        ],
    };
    client.write("next.toml", &config_text_with_weight(3));
    client.write("later.toml", &config_text_with_weight(4));
    client.write(
        "invalid.toml",
        "[workspaces.a]\nweight = 0\nmax_in_flight = 1\npriority = \"normal\"\n\
         models = [\"none\"]\n",
    );
    client.write("malformed.toml", "[workspaces");
    client
        .expect(
            &["check", "next.toml"],
            expect![[r#"
        exit 0
        next.toml: no errors
    "#]],
        )
        .await;
    client.expect(&["check", "invalid.toml"], expect![[r#"
        exit 2
        error: workspaces.a.weight is 0; expected 1 to 1000
        error: workspaces.a.models names 'none', which the file does not declare; declare it or remove the name
        2 error(s); nothing was changed
    "#]]).await;
    client
        .expect(
            &["check", "malformed.toml"],
            expect![[r#"
        exit 2
        error: cannot parse the file: TOML parse error at line 1, column 12
        |
        1 | [workspaces
        | ^
        unclosed table, expected `]`

        1 error(s); nothing was changed
    "#]],
        )
        .await;
    client
        .expect(
            &["diff", "next.toml"],
            expect![[r#"
        exit 0
        in force: revision 1
        - workspaces.zadar-stone.weight = 8
        + workspaces.zadar-stone.weight = 3
    "#]],
        )
        .await;
    client.expect(&["apply", "invalid.toml"], expect![[r#"
        exit 2
        error: workspaces.a.weight is 0; expected 1 to 1000
        error: workspaces.a.models names 'none', which the file does not declare; declare it or remove the name
        2 error(s); nothing was changed
    "#]]).await;
    client
        .expect(
            &["apply", "next.toml"],
            expect![[r#"
        exit 0
        accepted: revision 2
        in force on 2 of 2 entries
    "#]],
        )
        .await;
    let stale = ["apply", "later.toml", "--base", "1"];
    client
        .expect(
            &stale,
            expect![[r#"
        exit 3
        conflict: the file is based on revision 1, but the last accepted revision is 2; the file was not applied; run diff, then apply again
    "#]],
        )
        .await;
    fixture.wait_for_revision(1, 2, IN_FORCE_LIMIT).await;
    client
        .expect(
            &["diff", "next.toml"],
            expect![[r#"
        exit 0
        in force: revision 2
    "#]],
        )
        .await;
    client
        .expect(
            &["status"],
            expect![[r#"
        exit 0
        ENTRY ADDRESS DATA CENTRE STATE REVISION
        entry-0 <entry-0> split-a live 2
        entry-1 <entry-1> split-b live 2
        revision 2 as seen by entry-0; the platform answers
    "#]],
        )
        .await;
    fixture.set_platform_down(true).await;
    client
        .expect(
            &["apply", "later.toml", "--base", "2"],
            expect![[r#"
            exit 5
            undecided: <platform> answered with status 503; send the same apply request again to learn its outcome
        "#]],
        )
        .await;
    fixture.set_platform_down(false).await;
    let misdirected = Client {
        entries: vec![fixture.cluster.platform],
        ..client
    };
    let output = misdirected.run(&["status"], true).await;
    // The remaining lines are eyre's report of where the error occurred.
    let output: Vec<&str> = output.lines().take(2).collect();
    expect![[r#"
        exit 1
        Error: none of the 1 entries answered with a success status; last error: <platform> answered with status 404"#]].assert_eq(&output.join("\n"));
}
