"""Lints source files in parallel and keeps the clean results by content."""

import concurrent.futures
import hashlib
import json
import pathlib
import shlex
import subprocess
import sys

CHECKER = "clang-tidy-19"


def commands(build):
    """Returns the compile command of each source file."""
    text = pathlib.Path(build, "compile_commands.json").read_text()
    return {str(pathlib.Path(entry["file"]).resolve()): entry
            for entry in json.loads(text)}


def own_dependencies(entry, root):
    """Lists the files of the project that a source file includes."""
    words = shlex.split(entry["command"])
    if words[0].endswith("ccache"):
        words = words[1:]
    at = words.index("-o")
    words = words[:at] + words[at + 2:]
    listing = subprocess.run(words + ["-MM"], capture_output=True, text=True,
                             cwd=entry["directory"], check=True).stdout
    names = listing.split(":", 1)[1].replace("\\\n", " ").split()
    paths = [pathlib.Path(entry["directory"], name).resolve()
             for name in names]
    return sorted(path for path in paths if path.is_relative_to(root))


def key_of(entry, root, base):
    """Names the state of a source file and all that its result depends on."""
    digest = hashlib.sha256(base)
    digest.update(entry["command"].replace(str(root), "").encode())
    for path in own_dependencies(entry, root):
        digest.update(str(path.relative_to(root)).encode())
        digest.update(path.read_bytes())
    return digest.hexdigest()


def lint(name, entry, build, kept, root, base):
    """Lints one file; returns what is wrong with it."""
    if entry is None:
        return f"{name}: is not built, so it was not linted\n"
    mark = pathlib.Path(kept, key_of(entry, root, base))
    if mark.exists():
        return ""
    run = subprocess.run([CHECKER, "-p", build, "--quiet", name],
                         capture_output=True, text=True, check=False)
    if run.returncode != 0:
        return f"{name}\n{run.stdout}"
    mark.touch()
    return ""


def main():
    build, kept, jobs, *names = sys.argv[1:]
    root = pathlib.Path.cwd().resolve()
    base = pathlib.Path(".clang-tidy").read_bytes()
    base += subprocess.run([CHECKER, "--version"], capture_output=True,
                           check=True).stdout
    known = commands(build)

    def work(name):
        entry = known.get(str(pathlib.Path(name).resolve()))
        return lint(name, entry, build, kept, root, base)

    with concurrent.futures.ThreadPoolExecutor(int(jobs)) as pool:
        problems = [text for text in pool.map(work, names) if text]
    for text in problems:
        print(text, end="")
    print(f"lint: {len(names) - len(problems)} clean, {len(problems)} failed")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
