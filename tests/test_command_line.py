# SPDX-License-Identifier: BSD-3-Clause
"""The shipped file, and the command line against a running fleet."""

import os
import subprocess
from pathlib import Path

import pytest

from tests.test_processes import Harness
from tools.local_fleet import LocalFleet, http_call

BINARY = Path("dist/turnward")


def turnward(*arguments, timeout_s=30):
    return subprocess.run(
        [str(BINARY), *arguments], capture_output=True, text=True, timeout=timeout_s, check=False
    )


@pytest.fixture(scope="module")
def harness():
    harness = Harness()
    yield harness
    harness.fleet.stop()


def test_shipped_file_checks_the_examples():
    names = [str(path) for path in sorted(Path("examples").glob("*.toml"))]
    done = turnward("check", *names)
    assert done.returncode == 0, done.stderr
    assert done.stdout.splitlines() == [f"{name}: good" for name in names]
    assert len(names) == 5


def test_shipped_router_serves_in_one_process():
    with LocalFleet(command=[str(BINARY.resolve())]) as fleet:
        fleet.start_platform()
        router = fleet.start_router("entry-1", "ost-a")
        fleet.wait_ready()
        assert http_call("GET", f"{router.callers_url}/health")[2] == b"serving"
        children = Path(f"/proc/{router.process.pid}/task/{router.process.pid}/children")
        assert children.read_text() == ""
        assert router.process.poll() is None


def test_bad_settings_name_file_key_expected_and_found(tmp_path):
    path = tmp_path / "router.toml"
    text = Path("examples/router.toml").read_text()
    text = text.replace('"127.0.0.1:8080"', '"localhost"').replace("zone =", "zoen =")
    path.write_text(text + "heartbeat_s = -1\nbill_flush_s = 'soon'\n")
    done = turnward("router", str(path))
    assert done.returncode == 1
    faults = done.stderr.strip().splitlines()
    assert any("zoen: expected one of" in fault for fault in faults)
    assert any("zone: expected a value, found none" in fault for fault in faults)
    assert any("bill_flush_s: expected" in fault and "soon" in fault for fault in faults)
    assert all(str(path) in fault for fault in faults)


def test_bad_values_name_every_fault(tmp_path):
    path = tmp_path / "router.toml"
    text = Path("examples/router.toml").read_text()
    path.write_text(text.replace('"127.0.0.1:8080"', '"localhost"') + "heartbeat_s = -1\n")
    done = turnward("check", str(path))
    assert done.returncode == 1
    assert "callers_address: expected IP:port, found 'localhost'" in done.stderr
    assert "heartbeat_s: expected more than 0, found -1" in done.stderr


def test_commands_read_change_and_explain(harness):
    url, key = harness.routers[0].operators_url, str(harness.fleet.key_file)
    assert '"in_force": 3' in turnward("get", url, key).stdout
    drained = turnward("drain", url, key, "--endpoint=draft-1")
    assert "accepted" in drained.stdout, drained.stderr
    shown = turnward("get", url, key, "endpoints", "draft-1").stdout
    assert '"drained": true' in shown
    assert "accepted" in turnward("drain", url, key, "--endpoint=draft-1", "--undo").stdout
    assert turnward("watch", url, key, "--times=1").returncode == 0
    assert "config.accepted" in turnward("timeline", url, key, "--kind=config").stdout
    refused = turnward("get", url, key, "things")
    assert refused.returncode == 1
    assert "expected fleet or one of" in refused.stderr


def test_unreachable_router_is_a_clear_error():
    done = turnward("get", "http://127.0.0.1:9", os.devnull)
    assert done.returncode == 1
    assert "ask another router" in done.stderr
