"""Tests of the checks of the files that an operator provides."""

import json

from carawayvale.platform.checks import check_configuration_file
from carawayvale.platform.checks import check_deploy_file
from carawayvale.platform.checks import check_settings_file
from carawayvale.platform.tests.examples import CONFIGURATION

VALID_DEPLOY_FILE = """
build = "true"
[roles.a]
run = "python3 -m x"
on = "front"
share = 1.0
serves = ["front", "directory", "control"]
env = { CARAWAYVALE_KEY = "a-key-of-enough-bytes" }
"""


def list_findings(path, text, check=check_deploy_file):
    path.write_text(text)
    return [str(finding) for finding in check(str(path))]


class TestDeployFile:
    def test_the_deploy_file_of_the_project_is_valid(self):
        assert check_deploy_file("deploy/system.toml") == []

    def test_findings_name_section_and_key(self, tmp_path):
        path = tmp_path / "s.toml"
        text = VALID_DEPLOY_FILE.replace('"front", "directory"', '"front"')
        text = text.replace("share = 1.0", "share = 1.5")
        text = text.replace("a-key-of-enough-bytes", "short")
        found = list_findings(path, text)
        assert len(found) == 3
        assert f"{path}: [roles.a] share: must be above 0" in found[0]
        assert "[roles.a] env.CARAWAYVALE_KEY" in found[1]
        assert "no role serves directory" in found[2]

    def test_invalid_toml_gives_one_finding(self, tmp_path):
        assert len(list_findings(tmp_path / "s.toml", "[roles")) == 1

    def test_metrics_require_the_port_of_the_variable_and_a_path(
        self, tmp_path
    ):
        path = tmp_path / "s.toml"
        env = '", CARAWAYVALE_METRICS_PORT = "9464" }'
        valid = (
            VALID_DEPLOY_FILE.replace('" }', env)
            + 'metrics = "9464/metrics"\n'
        )
        assert list_findings(path, valid) == []
        found = list_findings(path, valid.replace("9464/", "9465/"))
        assert "must be the port of metrics, 9465" in found[0]
        found = list_findings(path, VALID_DEPLOY_FILE + 'metrics = "x"\n')
        assert "PORT/PATH" in str(found)


class TestConfigurationAndSettingsFiles:
    def test_a_valid_configuration_has_no_findings(self, tmp_path):
        text = json.dumps(CONFIGURATION)
        path = tmp_path / "c.json"
        assert list_findings(path, text, check_configuration_file) == []

    def test_findings_of_a_configuration_name_the_file(self, tmp_path):
        path = tmp_path / "c.json"
        text = json.dumps({**CONFIGURATION, "limits": 7})
        found = list_findings(path, text, check_configuration_file)
        assert found[0].startswith(f"{path}: [limits]")

    def test_all_findings_of_settings_are_listed(self, tmp_path):
        path = tmp_path / "n.json"
        found = list_findings(path, '{"node": "e1"}', check_settings_file)
        assert len(found) > 3
