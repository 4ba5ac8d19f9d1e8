"""The deploy file installs what the program on the platform imports."""

import re
import subprocess
import sys
from importlib.metadata import packages_distributions
from pathlib import Path

ROOT = Path(__file__).parent.parent
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
LIST_MODULES = """
import sys, rhubarbshed.front, rhubarbshed.transport.startup, rhubarbshed.transport.edge.node
rhubarbshed.transport.edge.node.FrontMetrics().render({})
print(*{name.split('.')[0] for name in sys.modules})
"""


def test_front_imports_no_library_that_is_not_installed_with_it():
    """The program did not start on the platform, though all tests passed."""
    listed = subprocess.run(
        [sys.executable, "-c", LIST_MODULES], capture_output=True, text=True, check=True, cwd=ROOT
    )
    imported = set(listed.stdout.split())
    distributions = {
        name.lower()
        for module, names in packages_distributions().items()
        if module in imported
        for name in names
    }
    installed = set(re.findall(r"^([\w.-]+)==", REQUIREMENTS.read_text().lower(), re.MULTILINE))
    known = {name.replace("_", "-") for name in distributions}
    own = {"rhubarbshed", "pip", "setuptools"}
    assert known - {name.replace("_", "-") for name in installed} <= own
