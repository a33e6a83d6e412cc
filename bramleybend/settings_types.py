"""What a setting's value may be; the messages say how to write it."""

from ipaddress import ip_address
from typing import Annotated, Final
from urllib.parse import urlsplit

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

PORT_LIMIT: Final = 65_535


class HostPort(BaseModel):
    """Where a service listens."""

    model_config = ConfigDict(frozen=True)

    host: str = Field(min_length=1)
    port: int = Field(ge=1, le=PORT_LIMIT)


def _check_address(text: str) -> str:
    if ip_address(text).is_unspecified:
        raise ValueError('callers cannot connect to an unspecified address')
    return text


def _check_url(text: str) -> str:
    parts = urlsplit(text)
    whole = parts.scheme == 'http' and parts.hostname and parts.port != 0
    if not whole or parts.query or parts.fragment:
        raise ValueError('write it as http://host:port')
    return text.rstrip('/')


def split_host_port(given: object) -> object:
    """Part the text; leave the port's range to the model."""
    if not isinstance(given, str):
        return given
    host, _, port = given.rpartition(':')
    if not host or not port.isdecimal():
        raise ValueError('write it as host:port')
    return {'host': host, 'port': port}


Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
Address = Annotated[str, AfterValidator(_check_address)]
Port = Annotated[int, Field(ge=1, le=PORT_LIMIT)]
Url = Annotated[str, AfterValidator(_check_url)]
Seconds = Annotated[float, Field(gt=0, allow_inf_nan=False)]
Amount = Annotated[float, Field(ge=0, allow_inf_nan=False)]
