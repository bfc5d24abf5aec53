//! A directory of its own for each deployment.

use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

/// A directory that is removed when this is dropped.
#[derive(Debug)]
pub(super) struct Directory {
    path: PathBuf,
}

static NUMBER: AtomicU64 = AtomicU64::new(0);

impl Directory {
    /// Creates an empty directory.
    pub(super) fn create() -> io::Result<Self> {
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("sardinepin-fleet-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        // One of an earlier process of the same number may have been left behind.
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// Returns the path of a file in it.
    pub(super) fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        // A file that cannot be removed is no reason to fail.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
