"""Parameters of the two firms' deployments that the simulators reproduce."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"


@dataclass(frozen=True)
class Firm:
    """Describe the pools, availability zones and keys of one firm."""

    name: str
    region: str
    availability_zones: tuple[str, ...]
    engine_pool: str
    engines: int
    service_pool: str
    services: int
    model: str
    version: str
    checks_fencing: bool
    workspace: str
    # Base of the example ports; differs by firm so that both can run side by side.
    first_port: int

    @property
    def workspace_key(self) -> str:
        """Return the key of the workspace that the demo shows."""
        return f"{self.name}-demo-{self.workspace}"

    @property
    def operator_token(self) -> str:
        """Return the operator token of the demo."""
        return f"{self.name}-demo-operator-token"

    @property
    def operator_digest(self) -> str:
        """Return the digest of the operator token."""
        return hashlib.sha256(self.operator_token.encode()).hexdigest()

    @property
    def shared_key(self) -> str:
        """Return the key that the peers of the demo share."""
        return f"{self.name}-demo-shared-key-of-the-peers"

    @property
    def signing_key(self) -> str:
        """Return the key that signs the stream tokens of the demo."""
        return f"{self.name}-demo-signing-key-of-the-streams"

    def zone(self, index: int) -> str:
        """Return the availability zone of the host with an index."""
        return self.availability_zones[index % len(self.availability_zones)]

    def presets(self) -> Mapping[str, str]:
        """Return the texts of the example presets by name."""
        folder = EXAMPLES / self.name / "presets"
        files = sorted(folder.glob("*.toml"))
        if not files:
            raise FileNotFoundError(f"no preset files (*.toml) in {folder}")
        return {file.stem: file.read_text(encoding="utf-8") for file in files}


KENTE = Firm(
    name="kente",
    region="gh-south",
    availability_zones=("accra-a", "tema-b", "kasoa-c"),
    engine_pool="llm-pool",
    engines=6,
    service_pool="registry-api",
    services=3,
    model="kente-assist",
    version="3",
    checks_fencing=True,
    workspace="storefront",
    first_port=18_100,
)
KERERU = Firm(
    name="kereru",
    region="aotearoa-north",
    availability_zones=("akl", "ham", "wlg"),
    engine_pool="fault-desk-lm",
    engines=5,
    service_pool="work-orders",
    services=3,
    model="fault-desk",
    version="2",
    checks_fencing=False,
    workspace="fault-desk",
    first_port=19_100,
)
FIRMS: Mapping[str, Firm] = {firm.name: firm for firm in (KENTE, KERERU)}


def find_firm(name: str) -> Firm:
    """Return a firm by name; raise ``ValueError`` if it is unknown."""
    if name not in FIRMS:
        raise ValueError(f"firm is {name!r}; accepted: {', '.join(FIRMS)}")
    return FIRMS[name]
