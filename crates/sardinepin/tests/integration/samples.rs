//! Checks that the sample settings and deployments are valid.

use std::path::{Path, PathBuf};
use std::process::Command;

use sardinepin::check::{Deployment, FileKind, check_file, load_deployment};

fn samples_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../sample_configs")
}

fn sample_files() -> Vec<PathBuf> {
    let mut files = Vec::new();
    for folder in std::fs::read_dir(samples_dir()).unwrap() {
        for file in std::fs::read_dir(folder.unwrap().path()).unwrap() {
            files.push(file.unwrap().path());
        }
    }
    files.sort();
    files
}

fn upstream_count(deployment: &Deployment, service: &str) -> usize {
    let upstreams = deployment.upstreams.iter();
    upstreams
        .filter(|upstream| upstream.service == service)
        .count()
}

#[test]
fn every_sample_is_valid() {
    let files = sample_files();
    assert_eq!(files.len(), 11, "{files:?}");
    for file in files {
        let kind = check_file(&file).unwrap_or_else(|errors| panic!("{errors}"));
        let is_deployment = file.ends_with("deployment.yaml");
        assert_eq!(
            kind == FileKind::Deployment,
            is_deployment,
            "{}",
            file.display()
        );
    }
}

#[test]
fn samples_have_the_sizes_of_their_deployments() {
    let cases = [
        (
            "kveldsskole",
            "veileder-llm",
            "opptak-app",
            ["bergen-a", "bergen-b", "forde"],
        ),
        (
            "cooperative",
            "redaction-permis",
            "guichet-adherents",
            ["salle-brest", "salle-quimper", "salle-morlaix"],
        ),
    ];
    for (folder, model, app, zones) in cases {
        let file = samples_dir().join(folder).join("deployment.yaml");
        let deployment = load_deployment(&file).unwrap();
        assert_eq!(upstream_count(&deployment, model), 16);
        assert_eq!(upstream_count(&deployment, app), 3);
        assert_eq!(deployment.upstreams.len(), 19);
        assert_eq!(deployment.organisations.len(), 10);
        for upstream in &deployment.upstreams {
            assert!(zones.contains(&upstream.zone.as_str()), "{upstream:?}");
        }
    }
}

#[test]
fn check_exits_with_0_or_2() {
    let check = |file: &Path| {
        Command::new(env!("CARGO_BIN_EXE_sardinepin"))
            .arg("check")
            .arg(file)
            .output()
            .unwrap()
    };
    for file in sample_files() {
        assert_eq!(check(&file).status.code(), Some(0), "{}", file.display());
    }
    let missing = check(&samples_dir().join("missing.yaml"));
    assert_eq!(missing.status.code(), Some(2));
    let message = String::from_utf8(missing.stderr).unwrap();
    assert!(
        message.contains("missing.yaml: cannot be read"),
        "{message}"
    );
}
