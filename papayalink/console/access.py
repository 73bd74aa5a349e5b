"""Protection of the console: token and cross-site request forgery."""

import base64
import binascii
import hashlib
import hmac

import falcon

REALM = "papayalink"

# The pages load nothing but their own style sheet, and no other site may
# show them in a frame.
_HEADERS = {
    "Cache-Control": "no-store",
    "Content-Security-Policy": (
        "default-src 'none'; style-src 'self'; frame-ancestors 'none'"
    ),
    "Referrer-Policy": "no-referrer",
    "X-Content-Type-Options": "nosniff",
}


class Access:
    """Middleware that refuses requests without the console token.

    The token comes as bearer token or as password of HTTP basic; the
    user name of the latter is the author of changes.
    """

    __slots__ = ("_token", "_form_token")

    def __init__(self, token: str) -> None:
        self._token = token.encode()
        self._form_token = hmac.new(
            self._token, b"papayalink console form", hashlib.sha256
        ).hexdigest()

    @property
    def form_token(self) -> str:
        """Returns: the token that each form carries."""
        return self._form_token

    def check_form(self, given: str) -> None:
        """Refuse a form that did not come from this console.

        Raises:
            falcon.HTTPForbidden: the form token is missing or wrong.
        """
        if not hmac.compare_digest(given.encode(), self._form_token.encode()):
            raise falcon.HTTPForbidden(
                title="The form is not from this console",
                description="Open the page again and repeat the change.",
            )

    def process_request(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Check the credentials of every request."""
        for name, value in _HEADERS.items():
            response.set_header(name, value)
        user, given = _credentials(request.get_header("Authorization") or "")
        if not hmac.compare_digest(given, self._token):
            raise falcon.HTTPUnauthorized(
                title="The console token is missing or wrong",
                description=(
                    "Give the console token as bearer token or as password."
                ),
                challenges=[f'Basic realm="{REALM}"', "Bearer"],
            )
        request.context.user = user


def _credentials(header: str) -> tuple[str, bytes]:
    """Returns: user name, empty for a bearer token, and the secret."""
    scheme, _, rest = header.partition(" ")
    rest = rest.strip()
    match scheme.lower():
        case "bearer":
            return "", rest.encode()
        case "basic":
            try:
                pair = base64.b64decode(rest, validate=True)
                user, _, password = pair.partition(b":")
                return user.decode(), password
            except (binascii.Error, ValueError):
                return "", b""
        case _:
            return "", b""
