//! A folder of its own for each run of a test program, so that runs that share a target directory don't overwrite each other's files.

use std::path::{Path, PathBuf};
use std::sync::OnceLock;

/// First part of a run folder's name, which the process id follows.
const RUN_FOLDER_PREFIX: &str = "run-";

/// The empty folder of this process below `parent`, created at the first call. Later calls return the same folder, whatever their
/// `parent`. Folders of processes that have ended are removed.
///
/// # Panics
/// If the folder can't be created.
pub fn own_run_folder(parent: &str) -> &'static str {
    static FOLDER: OnceLock<String> = OnceLock::new();
    FOLDER.get_or_init(|| {
        let parent = Path::new(parent);
        remove_folders_of_ended_processes(parent);
        let folder = parent.join(format!("{RUN_FOLDER_PREFIX}{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder); // an ended process may have had the same id
        std::fs::create_dir_all(&folder).expect("creating the folder of this run failed");
        folder.into_os_string().into_string().expect("the folder's path is not UTF-8")
    })
}

fn remove_folders_of_ended_processes(parent: &Path) {
    let entries = std::fs::read_dir(parent).into_iter().flatten().flatten();
    let folders = entries.map(|entry| entry.path());
    for folder in folders.filter(|folder| belongs_to_ended_process(folder)) {
        let _ = std::fs::remove_dir_all(folder); // another run may remove the folder at the same time
    }
}

/// Whether this is the run folder of a process that no longer exists.
fn belongs_to_ended_process(folder: &Path) -> bool {
    let name = folder.file_name().and_then(|name| name.to_str());
    let process_id = name.and_then(|name| name.strip_prefix(RUN_FOLDER_PREFIX)?.parse::<u32>().ok());
    process_id.is_some_and(|process_id| !PathBuf::from(format!("/proc/{process_id}")).exists())
}
