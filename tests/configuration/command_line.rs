//! The operators' client: what it prints and how it exits.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Output;

use expect_test::{Expect, expect};
use pistachioyard_standins::Binaries;

use crate::support::{Bench, IN_FORCE, marked_text};

struct Client {
    directory: tempfile::TempDir,
    entries: Vec<SocketAddr>,
    /// Addresses by the names that stand for them in snapshots.
    known: Vec<(&'static str, SocketAddr)>,
}

impl Client {
    /// Runs a command and renders its exit code and output without addresses.
    async fn run(&self, args: &[&str], takes_entries: bool) -> String {
        let program = Binaries::find().expect("the programs are built").router;
        let mut command = tokio::process::Command::new(program);
        command.args(args).current_dir(self.directory.path());
        for entry in self.entries.iter().filter(|_| takes_entries) {
            command.arg("--entry").arg(entry.to_string());
        }
        self.render(&command.output().await.expect("it runs"))
    }

    /// Replaces addresses and joins spaces, whose number depends on addresses.
    fn render(&self, output: &Output) -> String {
        let mut text = format!("exit {}\n", output.status.code().unwrap_or(-1));
        text += &String::from_utf8_lossy(&output.stdout);
        text += &String::from_utf8_lossy(&output.stderr);
        for (name, address) in &self.known {
            text = text.replace(&address.to_string(), name);
        }
        let lines = text.lines().map(|line| {
            let words: Vec<&str> = line.split_whitespace().collect();
            words.join(" ") + "\n"
        });
        lines.collect()
    }

    async fn expect(&self, args: &[&str], expected: Expect) {
        let takes_entries = args[0] != "check";
        expected.assert_eq(&self.run(args, takes_entries).await);
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(Path::new(self.directory.path()).join(name), text).expect("a file");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_client_tells_by_its_exit_code_what_became_of_a_file() {
    let bench = Bench::start(2, false).await;
    let client = Client {
        directory: tempfile::TempDir::new().expect("a directory"),
        entries: vec![bench.caller(0), bench.caller(1)],
        known: vec![
            ("<entry-0>", bench.caller(0)),
            ("<entry-1>", bench.caller(1)),
            ("<platform>", bench.cluster.listed_platform),
        ],
    };
    client.write("next.toml", &marked_text(3));
    client.write("later.toml", &marked_text(4));
    client.write(
        "bad.toml",
        "[workspaces.a]\nweight = 0\nmax_in_flight = 1\npriority = \"normal\"\n\
         models = [\"none\"]\n",
    );
    client.write("worse.toml", "[workspaces");
    client
        .expect(
            &["check", "next.toml"],
            expect![[r#"
        exit 0
        next.toml: no faults
    "#]],
        )
        .await;
    client.expect(&["check", "bad.toml"], expect![[r#"
        exit 2
        error: workspaces.a.weight is 0; 1 to 1000 is allowed
        error: workspaces.a.models names 'none', which the file does not declare; declare it or remove the name
        2 fault(s); nothing was touched
    "#]]).await;
    client
        .expect(
            &["check", "worse.toml"],
            expect![[r#"
        exit 2
        error: the file cannot be read: TOML parse error at line 1, column 12
        |
        1 | [workspaces
        | ^
        unclosed table, expected `]`

        1 fault(s); nothing was touched
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
    client.expect(&["apply", "bad.toml"], expect![[r#"
        exit 2
        error: workspaces.a.weight is 0; 1 to 1000 is allowed
        error: workspaces.a.models names 'none', which the file does not declare; declare it or remove the name
        2 fault(s); nothing was touched
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
        conflict: revision 2 was accepted since 1; nothing has changed; run diff, then apply again
    "#]],
        )
        .await;
    bench.wait_revision(1, 2, IN_FORCE).await;
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
    bench.platform_down(true).await;
    client
        .expect(
            &["apply", "later.toml", "--base", "2"],
            expect![[r#"
            exit 5
            undecided: <platform> answered with status 503; send the same apply again to settle it
        "#]],
        )
        .await;
    bench.platform_down(false).await;
    let nobody = Client {
        entries: vec![bench.cluster.platform],
        ..client
    };
    let told = nobody.run(&["status"], true).await;
    // What follows is eyre's report of where the error arose.
    let told: Vec<&str> = told.lines().take(2).collect();
    expect![[r#"
        exit 1
        Error: none of the 1 entries answered; the last one said: <platform> answered with status 404"#]].assert_eq(&told.join("\n"));
}
