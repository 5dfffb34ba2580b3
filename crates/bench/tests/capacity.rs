//! Checks that the committed capacity page is what the command writes from the committed points, so that it is not
//! edited by hand.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

type TestResult<T> = Result<T, Box<dyn std::error::Error>>;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The files of a folder that have this extension, sorted by name.
fn files(folder: &Path, extension: &str) -> TestResult<Vec<PathBuf>> {
    let all =
        fs::read_dir(folder)?.map(|entry| Ok(entry?.path())).collect::<Result<Vec<_>, std::io::Error>>()?;
    let mut matching: Vec<_> =
        all.into_iter().filter(|path| path.extension().is_some_and(|found| found == extension)).collect();
    matching.sort();
    Ok(matching)
}

/// The content of the plots in a folder, by file name.
fn plots(folder: &Path) -> TestResult<BTreeMap<OsString, Vec<u8>>> {
    let named =
        files(folder, "svg")?.into_iter().filter_map(|path| Some((path.file_name()?.to_owned(), path)));
    named.map(|(name, path)| Ok((name, fs::read(path)?))).collect()
}

#[test]
fn committed_page_and_plots_match_what_the_command_writes_from_the_committed_points() -> TestResult<()> {
    let (committed, written) = (root().join("docs/capacity"), PathBuf::from(env!("CARGO_TARGET_TMPDIR")));
    let written = written.join("capacity");
    fs::remove_dir_all(&written).or_else(|e| if written.exists() { Err(e) } else { Ok(()) })?;
    fs::create_dir_all(&written)?;
    for path in files(&committed, "csv")? {
        fs::copy(&path, written.join(path.file_name().ok_or("a file has no name")?))?;
    }
    let page = written.join("CAPACITY.md");
    let status = Command::new(env!("CARGO_BIN_EXE_basaltward-bench"))
        .args(["capacity", "--from-points", "--points"])
        .arg(&written)
        .arg("--page")
        .arg(&page)
        .status()?;
    assert!(status.success());
    let outdated = "docs/CAPACITY.md is outdated: run `basaltward-bench capacity --from-points`";
    assert!(fs::read_to_string(root().join("docs/CAPACITY.md"))? == fs::read_to_string(&page)?, "{outdated}");
    let (committed, written) = (plots(&committed)?, plots(&written)?);
    assert!(!committed.is_empty() && committed == written, "plots: {outdated}");
    Ok(())
}
