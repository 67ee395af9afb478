"""Runs `make demo` and the commands of the README's quick start, as written but
for their ports, in a copy of the tracked files. A command of the README that is
neither run here nor in NOT_RUN fails the check."""
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PORTS = (8080, 8081, 8082, 8083, 8084, 9001, 9002)  # of the example settings
NOT_RUN = ("make check",  # runs this program
           "quetzalgate explain ID LOG...")  # a form, not a command


def readme_commands():
    """[(section, command)] of the indented lines; a command goes on while its
    quotes are open or its line ends with a backslash."""
    section, commands, partial = "", [], ""
    with open(os.path.join(ROOT, "README.md")) as text:
        for line in text:
            if line.startswith("## "):
                section = line[3:].strip()
            if not line.startswith("    "):
                assert not partial, "the README ends within: " + partial
                continue
            partial += line[4:]
            if partial.count("'") % 2 or partial.rstrip("\n").endswith("\\"):
                continue
            commands.append((section, partial.split("  #")[0].strip()))
            partial = ""
    return commands


def free_offset():
    for offset in range(11000, 40000, 100):
        sockets = []
        try:
            for port in PORTS:
                sockets.append(
                    socket.create_server(("127.0.0.1", port + offset)))
            return offset
        except OSError:
            pass
        finally:
            for s in sockets:
                s.close()
    raise AssertionError("no free ports")


def shift_ports(text, offset):
    return re.sub(r"\b(%s)\b" % "|".join(map(str, PORTS)),
                  lambda found: str(int(found[1]) + offset), text)


def copy_tracked_files(folder):
    names = subprocess.run(["git", "ls-files", "-z"], cwd=ROOT, check=True,
                           stdout=subprocess.PIPE).stdout.split(b"\0")
    for name in (n.decode() for n in names if n):
        if name.startswith(("journal/", "review/")):
            continue
        target = os.path.join(folder, name)
        os.makedirs(os.path.dirname(target), exist_ok=True)
        shutil.copy2(os.path.join(ROOT, name), target)


def run_demo(folder, offset):
    demo = subprocess.run(["make", "demo", "PORT_OFFSET=%d" % offset],
                          cwd=folder, stdout=subprocess.PIPE,
                          stderr=subprocess.STDOUT, text=True)
    print(demo.stdout[-3000:])
    assert demo.returncode == 0, "make demo: exit status %d" % demo.returncode
    assert "The demo is complete" in demo.stdout


class Shell:
    """One shell, as a reader of the README would type into."""

    def __init__(self, folder, offset):
        self.folder, self.offset = folder, offset
        self.exports, self.servers = "", []

    def serve(self, command):
        self.servers.append(subprocess.Popen(
            shift_ports(command, self.offset).split(), cwd=self.folder,
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL))

    def run(self, command):
        command = shift_ports(command, self.offset)
        if command.startswith("export "):
            self.exports += command + "\n"
        done = subprocess.run(["sh", "-c", self.exports + command],
                              cwd=self.folder, stdout=subprocess.PIPE,
                              stderr=subprocess.PIPE, text=True, timeout=60)
        print("$", command)
        print(done.stdout[-600:] or done.stderr[-600:])
        assert done.returncode == 0, "exit status %d" % done.returncode
        return done.stdout

    def stop(self):
        for server in reversed(self.servers):
            server.send_signal(signal.SIGTERM)
        for server in self.servers:
            try:
                server.wait(20)
            except subprocess.TimeoutExpired:
                server.kill()


def wait_for_listeners(offset):
    end = time.time() + 20
    for port in (8080, 8081, 9001, 9002):
        while True:
            try:
                socket.create_connection(
                    ("127.0.0.1", port + offset), 1).close()
                break
            except OSError:
                assert time.time() < end, "port %d does not listen" % port
                time.sleep(0.05)


def run_quick_start(folder, offset, commands):
    with open(os.path.join(folder, "examples/standalone.ini")) as text:
        settings = shift_ports(text.read(), offset)
    with open(os.path.join(folder, "examples/standalone.ini"), "w") as out:
        out.write(settings)
    shell = Shell(folder, offset)
    answers = {}
    servers = [c for c in commands
               if re.match(r"build/(standin|quetzalgated) ", c)]
    try:
        for command in servers:
            shell.serve(command)
        wait_for_listeners(offset)
        time.sleep(1)  # the targets are cold at first
        for command in (c for c in commands if c not in servers):
            answers[command] = shell.run(command)
        booking = next(c for c in commands if "/bookings" in c)
        assert '"booking":' in answers[booking], "no booking"
        assert shell.run(booking) == answers[booking], "another first answer"
        chat = next(c for c in commands if "/chat/completions" in c)
        assert "data: [DONE]" in answers[chat], "the stream is not whole"
        assert "leader standalone" in answers["build/quetzalgate status"]
    finally:
        shell.stop()


def main():
    commands = readme_commands()
    quick = [c for section, c in commands if section == "Quick start"]
    ignored = [c for _, c in commands
               if c not in quick and c != "make demo" and c not in NOT_RUN]
    assert quick and not ignored, "not run: %s" % ignored
    folder = tempfile.mkdtemp(prefix="qg-quick-")
    try:
        copy_tracked_files(folder)
        offset = free_offset()
        run_demo(folder, offset)
        run_quick_start(folder, offset, quick)
    finally:
        shutil.rmtree(folder, ignore_errors=True)


main()
