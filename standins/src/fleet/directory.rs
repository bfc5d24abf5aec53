//! The temporary directory of a deployment.

use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

/// A temporary directory; dropping it removes the directory.
#[derive(Debug)]
pub struct TempDirectory {
    path: PathBuf,
}

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

impl TempDirectory {
    /// Creates an empty directory.
    pub fn create() -> io::Result<Self> {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("sardinepin-fleet-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        // An earlier process with the same process identifier may have left its directory behind.
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// Returns the path of a file in the directory.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        // A directory that cannot be removed must not fail the test.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
