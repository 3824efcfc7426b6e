"""Tests of the checks of an operator's files."""

import json

from carawayvale.platform.checks import check_configuration_file
from carawayvale.platform.checks import check_deploy_file
from carawayvale.platform.checks import check_settings_file
from carawayvale.platform.tests.examples import CONFIGURATION

GOOD = """
build = "true"
[roles.a]
run = "python3 -m x"
on = "front"
share = 1.0
serves = ["front", "directory", "control"]
env = { CARAWAYVALE_KEY = "a-key-of-enough-bytes" }
"""


def find(path, text, check=check_deploy_file):
    path.write_text(text)
    return [str(finding) for finding in check(str(path))]


class TestDeployFile:
    def test_our_own_passes(self):
        assert check_deploy_file("deploy/system.toml") == []

    def test_findings_name_their_place(self, tmp_path):
        path = tmp_path / "s.toml"
        text = GOOD.replace('"front", "directory"', '"front"')
        text = text.replace("share = 1.0", "share = 1.5")
        text = text.replace("a-key-of-enough-bytes", "short")
        found = find(path, text)
        assert len(found) == 3
        assert f"{path}: [roles.a] share: must be above 0" in found[0]
        assert "[roles.a] env.CARAWAYVALE_KEY" in found[1]
        assert "no role serves directory" in found[2]

    def test_a_file_that_is_no_toml_is_one_finding(self, tmp_path):
        assert len(find(tmp_path / "s.toml", "[roles")) == 1

    def test_metrics_need_port_and_path(self, tmp_path):
        path = tmp_path / "s.toml"
        env = '", CARAWAYVALE_METRICS_PORT = "9464" }'
        good = GOOD.replace('" }', env) + 'metrics = "9464/metrics"\n'
        assert find(path, good) == []
        found = find(path, good.replace("9464/", "9465/"))
        assert "must be the port of metrics, 9465" in found[0]
        found = find(path, GOOD + 'metrics = "x"\n')
        assert "PORT/PATH" in str(found)


class TestOtherFiles:
    def test_a_good_configuration_has_no_findings(self, tmp_path):
        text = json.dumps(CONFIGURATION)
        path = tmp_path / "c.json"
        assert find(path, text, check_configuration_file) == []

    def test_findings_of_a_configuration_name_the_file(self, tmp_path):
        path = tmp_path / "c.json"
        text = json.dumps({**CONFIGURATION, "limits": 7})
        found = find(path, text, check_configuration_file)
        assert found[0].startswith(f"{path}: [limits]")

    def test_settings_list_all_findings(self, tmp_path):
        path = tmp_path / "n.json"
        found = find(path, '{"node": "e1"}', check_settings_file)
        assert len(found) > 3
