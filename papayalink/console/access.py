"""Authentication of requests and protection against forged forms."""

import base64
import binascii
import hashlib
import hmac

import falcon

REALM = "papayalink"

# The pages load nothing but their own style sheet, and no other site may
# embed them in a frame.
_HEADERS = {
    "Cache-Control": "no-store",
    "Content-Security-Policy": (
        "default-src 'none'; style-src 'self'; frame-ancestors 'none'"
    ),
    "Referrer-Policy": "no-referrer",
    "X-Content-Type-Options": "nosniff",
}


class Access:
    """Middleware that rejects requests without the console token.

    The token is sent as bearer token or as password of HTTP basic
    authentication, whose user name becomes the author of changes. Each
    form also carries a token derived from it, which a page of another site
    cannot know (protection against cross-site request forgery).
    """

    __slots__ = ("_token", "_form_token")

    def __init__(self, token: str) -> None:
        self._token = token.encode()
        self._form_token = hmac.new(
            self._token, b"papayalink console form", hashlib.sha256
        ).hexdigest()

    @property
    def form_token(self) -> str:
        """Returns: token that each form of the console carries."""
        return self._form_token

    def check_form(self, form_token: str) -> None:
        """Reject a form that was not rendered by this console.

        Raises:
            falcon.HTTPForbidden: the form token is missing or wrong.
        """
        if not hmac.compare_digest(
            form_token.encode(), self._form_token.encode()
        ):
            raise falcon.HTTPForbidden(
                title="The form is not from this console",
                description="Open the page again and repeat the change.",
            )

    def process_request(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Check the credentials and set the security headers."""
        for name, value in _HEADERS.items():
            response.set_header(name, value)
        user, token = _parse_credentials(
            request.get_header("Authorization") or ""
        )
        if not hmac.compare_digest(token, self._token):
            raise falcon.HTTPUnauthorized(
                title="The console token is missing or wrong",
                description=(
                    "Give the console token as bearer token or as password."
                ),
                challenges=[f'Basic realm="{REALM}"', "Bearer"],
            )
        request.context.user = user


def _parse_credentials(header: str) -> tuple[str, bytes]:
    """Returns: user name, empty for a bearer token, and the token."""
    scheme, _, credentials = header.partition(" ")
    credentials = credentials.strip()
    match scheme.lower():
        case "bearer":
            return "", credentials.encode()
        case "basic":
            try:
                pair = base64.b64decode(credentials, validate=True)
                user, _, password = pair.partition(b":")
                return user.decode(), password
            except (binascii.Error, ValueError):
                return "", b""
        case _:
            return "", b""
