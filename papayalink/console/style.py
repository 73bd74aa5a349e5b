"""Style sheet of the console."""

CSS = """\
body { font: 15px/1.4 sans-serif; margin: 0 auto; max-width: 78em;
  padding: 0 1em 3em; color: #222; background: #fff; }
header { border-bottom: 2px solid #b5502a; margin-bottom: 1em; }
h1 { font-size: 1.3em; margin: .6em 0; }
h2 { font-size: 1.1em; }
nav { margin-top: .6em; }
nav button, nav a { margin: 0 .2em .6em 0; }
table { border-collapse: collapse; width: 100%; }
th, td { border: 1px solid #ccc; padding: .25em .4em; text-align: left;
  vertical-align: top; }
th { background: #f4efe9; font-weight: 600; }
input[type=text], input[type=password], select, textarea { font: inherit;
  box-sizing: border-box; width: 100%; min-width: 6em; }
textarea { font: 12px/1.3 monospace; min-width: 18em; }
td table { margin: 0; }
.error { color: #a00; }
.notice { border-left: 4px solid #b5502a; padding: .4em .8em;
  background: #faf6f2; }
.current { font-weight: 700; }
pre { background: #f6f6f6; padding: .6em; overflow-x: auto;
  white-space: pre-wrap; }
button { font: inherit; padding: .25em .8em; }
.help { color: #555; font-size: .9em; }
"""
