import shutil
import subprocess
import sys
import venv

from behave import given, when

from features.helper import stage_of
from standins.processes import ROOT

SETTINGS = """\
entry:
  name: entry-1
  data_centre: san-jose
  callers: {port: 8080}
  peers: {host: 127.0.0.1, port: 7400}
  status: {port: 7401}
  platform: {log_url: "http://127.0.0.1:7500", members_url: "http://127.0.0.1:7501"}
"""
INSTALL_TIMEOUT_S = 300


def pip(*arguments):
    subprocess.run(
        [*arguments, "--quiet", "--disable-pip-version-check"],
        check=True,
        timeout=INSTALL_TIMEOUT_S,
    )


@given("the wheel, installed into a fresh environment")
def step_install_wheel(context):
    context.folder = stage_of(context).directory / "elsewhere"
    context.folder.mkdir()
    # Built from a copy, since a build leaves its own folders beside the sources.
    source = context.folder / "source"
    source.mkdir()
    for name in ("pyproject.toml", "README.md"):
        shutil.copy(ROOT / name, source / name)
    unwanted = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "lavenderspoke", source / "lavenderspoke", ignore=unwanted)
    wheels = context.folder / "wheels"
    build = [sys.executable, "-m", "pip", "wheel", "--no-deps"]
    pip(*build, "--wheel-dir", str(wheels), str(source))
    environment = context.folder / "environment"
    venv.create(environment, with_pip=True)
    context.programs = environment / "bin"
    (wheel,) = wheels.glob("lavenderspoke-*.whl")
    pip(str(context.programs / "python"), "-m", "pip", "install", str(wheel))
    (context.folder / "settings.yaml").write_text(SETTINGS)


def run_installed(context, *command):
    context.done = subprocess.run(
        [str(context.programs / command[0]), *command[1:]],
        cwd=context.folder,
        env={"PATH": "/usr/bin:/bin", "COLUMNS": "200", "TERM": "dumb"},
        capture_output=True,
        text=True,
        timeout=60,
    )
    context.printed = context.done.stdout + context.done.stderr


@when('its command runs "{arguments}" in another folder')
def step_run_command(context, arguments):
    run_installed(context, "lavenderspoke", *arguments.split())


@when("each of its modules is imported in another folder")
def step_import_modules(context):
    modules = [
        ".".join(path.relative_to(ROOT).with_suffix("").parts)
        for path in sorted((ROOT / "lavenderspoke").rglob("*.py"))
        if path.name not in ("__init__.py", "__main__.py")
    ]
    code = f"import importlib; [importlib.import_module(m) for m in {modules!r}]"
    run_installed(context, "python", "-c", f"{code}; print('imported')")
